package org.coltsfootproxy.job;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.cfg.JsonNodeFeature;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.message.ItemResult;
import org.coltsfootproxy.message.JobItem;

/**
 * Reads items and writes results as JSON Lines.
 *
 * <p>An item is {@code {"id": "name", "body": ...}}. The id is optional. The body is any JSON value
 * and becomes the body of the call.
 */
final class JobJsonLines {
    /** Maximum size of the body of one item, in bytes. */
    static final int MAX_ITEM_BYTES = 256 << 10;

    private static final Set<String> FIELDS = Set.of("id", "body");
    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .enable(DeserializationFeature.USE_BIG_DECIMAL_FOR_FLOATS)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
                    .disable(JsonNodeFeature.STRIP_TRAILING_BIGDECIMAL_ZEROES)
                    .build();

    private JobJsonLines() {}

    /**
     * Parses the items in a body, one on each line. Blank lines are skipped.
     *
     * @throws ProxyException of kind {@link ErrorKind#INVALID_JOB} with the number of the first
     *     invalid line
     */
    static List<JobItem> parse(byte[] body) throws ProxyException {
        List<JobItem> items = new ArrayList<>();
        int line = 0;
        int start = 0;
        while (start < body.length) {
            int end = endOfLine(body, start);
            line++;
            byte[] bytes = Arrays.copyOfRange(body, start, end);
            if (!isBlank(bytes)) {
                items.add(item(bytes, line));
            }
            start = end + 1;
        }
        return items;
    }

    private static int endOfLine(byte[] body, int start) {
        int end = start;
        while (end < body.length && body[end] != '\n') {
            end++;
        }
        return end;
    }

    private static boolean isBlank(byte[] line) {
        return new String(line, StandardCharsets.ISO_8859_1).isBlank();
    }

    private static JobItem item(byte[] bytes, int line) throws ProxyException {
        try {
            return item(MAPPER.readTree(bytes), line);
        } catch (JsonProcessingException e) {
            throw invalid(line, "is not valid JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw invalid(line, "can't be read: " + e.getMessage());
        }
    }

    private static JobItem item(JsonNode json, int line) throws ProxyException, IOException {
        if (!json.isObject()) {
            throw invalid(line, "is not a JSON object");
        }
        for (Iterator<String> names = json.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!FIELDS.contains(name)) {
                throw invalid(line, "has the unknown field '" + name + "'");
            }
        }
        if (!json.has("body")) {
            throw invalid(line, "has no field 'body'");
        }
        JsonNode id = json.path("id");
        if (!id.isMissingNode() && !(id.isTextual() && ItemPayload.isValidId(id.textValue()))) {
            throw invalid(line, "has an 'id' that is not a text of at most 255 bytes");
        }
        byte[] body = MAPPER.writeValueAsBytes(json.get("body"));
        if (body.length > MAX_ITEM_BYTES) {
            throw invalid(line, "has a 'body' of more than " + MAX_ITEM_BYTES + " bytes");
        }
        return JobItem.of(id.isMissingNode() ? "" : id.textValue(), body);
    }

    private static ProxyException invalid(int line, String what) {
        return ProxyException.of(ErrorKind.INVALID_JOB, "line " + line + " " + what);
    }

    /** Returns results as JSON Lines in UTF-8. */
    static byte[] format(List<ItemResult> results) {
        ByteArrayOutputStream lines = new ByteArrayOutputStream();
        for (ItemResult result : results) {
            lines.writeBytes(format(result));
            lines.write('\n');
        }
        return lines.toByteArray();
    }

    private static byte[] format(ItemResult result) {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("index", result.index());
        if (!result.id().isEmpty()) {
            json.put("id", result.id());
        }
        json.put("state", result.state().label());
        if (result.status() > 0) {
            json.put("status", result.status());
        }
        if (result.body().length > 0) {
            putBody(json, result.body());
        }
        if (!result.error().isEmpty()) {
            json.put("error", result.error()).put("attempts", result.attempts());
        }
        if (result.fence() != 0) {
            json.put("fence", result.fence());
        }
        try {
            return MAPPER.writeValueAsBytes(json);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("can't write a result", e);
        }
    }

    /**
     * Adds a body as {@code body} if it is JSON, else as {@code text} if it is UTF-8, else as
     * {@code base64}.
     */
    private static void putBody(ObjectNode json, byte[] body) {
        Optional<JsonNode> tree = tree(body);
        if (tree.isPresent()) {
            json.set("body", tree.get());
            return;
        }
        try {
            String text =
                    StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(body)).toString();
            json.put("text", text);
        } catch (CharacterCodingException e) {
            json.put("base64", body);
        }
    }

    private static Optional<JsonNode> tree(byte[] body) {
        try {
            return Optional.of(MAPPER.readTree(body)).filter(tree -> !tree.isMissingNode());
        } catch (IOException e) {
            return Optional.empty();
        }
    }
}
