package org.coltsfootproxy.platform;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import java.io.IOException;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;

/** Reads the platform's JSON documents. */
final class Json {
    static final ObjectMapper MAPPER = new ObjectMapper();

    private static final ObjectReader READER =
            MAPPER.reader().with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private Json() {}

    /**
     * Returns the object that a document holds.
     *
     * @param kind kind of the error if it holds none
     */
    static JsonNode object(byte[] document, ErrorKind kind) throws ProxyException {
        try {
            JsonNode node = READER.readTree(document);
            if (node != null && node.isObject()) {
                return node;
            }
        } catch (IOException e) {
            throw ProxyException.of(kind, "not valid JSON: " + e.getMessage(), e);
        }
        throw ProxyException.of(kind, "not a JSON object");
    }

    static Stream<JsonNode> elements(JsonNode array) {
        return StreamSupport.stream(array.spliterator(), false);
    }

    /** Returns a text, which must be there. */
    static String text(JsonNode object, String name, ErrorKind kind) throws ProxyException {
        JsonNode value = object.path(name);
        if (!value.isTextual()) {
            throw ProxyException.of(kind, "'" + name + "' is not a text but " + shown(value));
        }
        return value.textValue();
    }

    /** Returns a list, which must be there. */
    static JsonNode list(JsonNode object, String name, ErrorKind kind) throws ProxyException {
        JsonNode value = object.path(name);
        if (!value.isArray()) {
            throw ProxyException.of(kind, "'" + name + "' is not a list but " + shown(value));
        }
        return value;
    }

    /** Returns a number, 0 if it is missing. */
    static double number(JsonNode object, String name, ErrorKind kind) throws ProxyException {
        JsonNode value = object.path(name);
        if (value.isMissingNode() || value.isNull()) {
            return 0;
        }
        if (!value.isNumber()) {
            throw ProxyException.of(kind, "'" + name + "' is not a number but " + shown(value));
        }
        return value.doubleValue();
    }

    private static String shown(JsonNode value) {
        return value.isMissingNode() ? "missing" : value.getNodeType().toString();
    }
}
