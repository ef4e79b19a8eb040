package org.coltsfootproxy.fake;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.MissingNode;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;

/**
 * A request to a stand-in target.
 *
 * @param id identifies the request: the {@code id} of its JSON body, else its {@code
 *     Idempotency-Key}, else the query's {@code id}, else its path
 * @param body the JSON body, or a missing node if it is not JSON
 */
record TargetRequest(
        String id, String method, String path, QueryStringDecoder query, JsonNode body) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Parses an HTTP request. */
    static TargetRequest from(FullHttpRequest http) {
        QueryStringDecoder query = new QueryStringDecoder(http.uri());
        JsonNode body = parseJson(http.content().toString(StandardCharsets.UTF_8));
        String id =
                Optional.ofNullable(body.path("id").textValue())
                        .or(() -> Optional.ofNullable(http.headers().get("Idempotency-Key")))
                        .or(() -> parameter(query, "id"))
                        .orElse(query.path());
        return new TargetRequest(id, http.method().name(), query.path(), query, body);
    }

    private static JsonNode parseJson(String text) {
        try {
            JsonNode node = MAPPER.readTree(text);
            return node == null ? MissingNode.getInstance() : node;
        } catch (IOException e) {
            return MissingNode.getInstance();
        }
    }

    private static Optional<String> parameter(QueryStringDecoder query, String name) {
        return query.parameters().getOrDefault(name, List.of()).stream().findFirst();
    }

    /** Returns a query parameter, or a default. */
    String parameter(String name, String defaultValue) {
        return parameter(query, name).orElse(defaultValue);
    }

    /** Returns a query parameter as a number, or a default if it is missing or not a number. */
    long number(String name, long defaultValue) {
        try {
            return Long.parseLong(parameter(name, Long.toString(defaultValue)));
        } catch (NumberFormatException e) {
            return defaultValue;
        }
    }
}
