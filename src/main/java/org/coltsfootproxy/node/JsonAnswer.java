package org.coltsfootproxy.node;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.List;
import org.coltsfootproxy.message.Header;

/** Answers HTTP calls with JSON. */
public final class JsonAnswer {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private JsonAnswer() {}

    /** Answers a call with the given HTTP status and {@code body}, a record or JSON tree. */
    public static void send(long call, int status, Object body, Effects out) {
        byte[] bytes = encode(body);
        List<Header> headers =
                List.of(
                        Header.of("Content-Type", "application/json"),
                        Header.of("Content-Length", Integer.toString(bytes.length)));
        out.add(new Effect.HttpHead(call, status, headers));
        out.add(new Effect.HttpChunk(call, bytes));
        out.add(new Effect.HttpEnd(call));
    }

    private static byte[] encode(Object body) {
        try {
            return MAPPER.writeValueAsBytes(body);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("can't write as JSON: " + body.getClass(), e);
        }
    }
}
