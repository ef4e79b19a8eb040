package org.coltsfootproxy.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.stream.Collectors;
import java.util.stream.StreamSupport;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;

/** The output of a command: plain text, or a single JSON value with {@code --output json}. */
final class Output {
    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    private final PrintStream mOut;
    private final boolean mJson;

    private Output(PrintStream out, boolean json) {
        mOut = out;
        mJson = json;
    }

    static Output of(PrintStream out, boolean json) {
        return new Output(out, json);
    }

    /** Returns the underlying stream. */
    PrintStream stream() {
        return mOut;
    }

    /** Returns the stream for progress lines, which is standard error in JSON mode. */
    PrintStream progress() {
        return mJson ? System.err : mOut;
    }

    /** Writes a JSON value in JSON mode only. Used if the text was printed already. */
    void documentIfJson(byte[] json) throws ProxyException {
        if (mJson) {
            document(json);
        }
    }

    /** Writes a line in text mode only. */
    void line(String text) {
        if (!mJson) {
            mOut.println(text);
        }
    }

    /** Writes a JSON document: indented JSON in JSON mode, or else as indented text. */
    void document(byte[] json) throws ProxyException {
        try {
            JsonNode node = MAPPER.readTree(json);
            mOut.println(mJson ? MAPPER.writeValueAsString(node) : render(node, ""));
        } catch (java.io.IOException e) {
            throw ProxyException.of(ErrorKind.INTERNAL, "the answer is not JSON", e);
        }
    }

    /** Writes a JSON object. */
    void value(ObjectNode value) throws ProxyException {
        try {
            document(MAPPER.writeValueAsBytes(value));
        } catch (JsonProcessingException e) {
            throw ProxyException.of(ErrorKind.INTERNAL, "can't write the answer", e);
        }
    }

    static ObjectNode object() {
        return MAPPER.createObjectNode();
    }

    private static String render(JsonNode node, String indent) {
        if (node.isObject()) {
            return node.properties().stream()
                    .map(entry -> field(entry.getKey(), entry.getValue(), indent))
                    .collect(Collectors.joining("\n"));
        }
        if (node instanceof ArrayNode) {
            return StreamSupport.stream(node.spliterator(), false)
                    .map(element -> indent + "- " + render(element, indent + "  ").strip())
                    .collect(Collectors.joining("\n"));
        }
        return indent + node.asText();
    }

    private static String field(String name, JsonNode value, String indent) {
        return value.isContainerNode() && !value.isEmpty()
                ? indent + name + ":\n" + render(value, indent + "  ")
                : indent + name + ": " + (value.isContainerNode() ? "none" : value.asText());
    }
}
