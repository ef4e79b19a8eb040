package org.coltsfootproxy.load;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Checks that a successful answer is complete and belongs to its request. */
final class AnswerVerifier {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String DATA = "data: ";

    private AnswerVerifier() {}

    /** Returns what is wrong with the answer to request {@code id}, or an empty string. */
    static String findDefect(LoadScenario.OnlineStream stream, String id, byte[] body) {
        String text = new String(body, StandardCharsets.UTF_8);
        try {
            return switch (stream.answer()) {
                case STREAM -> streamDefect(text, id, stream.maxTokens());
                case WHOLE -> wholeDefect(MAPPER.readTree(text), id, stream.maxTokens());
                case RECORD -> idDefect(MAPPER.readTree(text), id);
            };
        } catch (IOException e) {
            return "not JSON: " + e.getMessage();
        }
    }

    private static String idDefect(JsonNode json, String id) {
        String answeredId = json.path("id").asText();
        return answeredId.equals(id)
                ? ""
                : "the answer is for '" + answeredId + "', not '" + id + "'";
    }

    private static String wholeDefect(JsonNode json, String id, int expectedTokens) {
        String defect = idDefect(json, id);
        int tokens = json.path("text").asText().split(" ").length;
        return defect.isEmpty() && tokens != expectedTokens
                ? tokens + " tokens instead of " + expectedTokens
                : defect;
    }

    private static String streamDefect(String text, String id, int expectedTokens)
            throws IOException {
        List<String> events =
                text.lines().filter(l -> l.startsWith(DATA)).map(l -> l.substring(6)).toList();
        if (events.isEmpty() || !events.get(events.size() - 1).equals("[DONE]")) {
            return "the stream has no end";
        }
        if (events.size() != expectedTokens + 1) {
            return (events.size() - 1) + " tokens instead of " + expectedTokens;
        }
        for (int i = 0; i < expectedTokens; i++) {
            JsonNode token = MAPPER.readTree(events.get(i));
            String defect = idDefect(token, id);
            if (!defect.isEmpty() || token.path("index").asInt(-1) != i) {
                return defect.isEmpty() ? "token " + i + " is missing" : defect;
            }
        }
        return "";
    }
}
