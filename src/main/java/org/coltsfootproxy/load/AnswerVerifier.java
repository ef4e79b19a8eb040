package org.coltsfootproxy.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Decides whether an answer that ended well is the whole answer to its own request. */
final class AnswerVerifier {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String DATA = "data: ";

    private AnswerVerifier() {}

    /** Returns what is wrong with an answer to request {@code id}, or an empty text. */
    static String fault(LoadScenario.OnlineStream stream, String id, byte[] body) {
        String text = new String(body, StandardCharsets.UTF_8);
        try {
            return switch (stream.answer()) {
                case STREAM -> streamFault(text, id, stream.maxTokens());
                case WHOLE -> wholeFault(MAPPER.readTree(text), id, stream.maxTokens());
                case RECORD -> idFault(MAPPER.readTree(text), id);
            };
        } catch (IOException e) {
            return "not JSON: " + e.getMessage();
        }
    }

    private static String idFault(JsonNode json, String id) {
        String other = json.path("id").asText();
        return other.equals(id) ? "" : "the answer is for '" + other + "', not '" + id + "'";
    }

    private static String wholeFault(JsonNode json, String id, int tokens) {
        String fault = idFault(json, id);
        int words = json.path("text").asText().split(" ").length;
        return fault.isEmpty() && words != tokens ? words + " tokens instead of " + tokens : fault;
    }

    private static String streamFault(String text, String id, int tokens) throws IOException {
        List<String> events =
                text.lines().filter(l -> l.startsWith(DATA)).map(l -> l.substring(6)).toList();
        if (events.isEmpty() || !events.get(events.size() - 1).equals("[DONE]")) {
            return "the stream has no end";
        }
        if (events.size() != tokens + 1) {
            return (events.size() - 1) + " tokens instead of " + tokens;
        }
        for (int i = 0; i < tokens; i++) {
            JsonNode token = MAPPER.readTree(events.get(i));
            String fault = idFault(token, id);
            if (!fault.isEmpty() || token.path("index").asInt(-1) != i) {
                return fault.isEmpty() ? "token " + i + " is missing" : fault;
            }
        }
        return "";
    }
}
