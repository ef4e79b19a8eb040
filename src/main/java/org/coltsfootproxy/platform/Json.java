package org.coltsfootproxy.platform;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import java.io.IOException;
import java.util.stream.Stream;
import java.util.stream.StreamSupport;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;

/** Reads and validates the platform's JSON documents. */
final class Json {
    static final ObjectMapper MAPPER = new ObjectMapper();

    /**
     * Maximum number of tokens of a document. Each value becomes an object of some 100 bytes, so
     * that a document of many small ones takes far more memory than its own bytes.
     */
    static final int MAX_TOKENS = 600_000;

    private static final ObjectReader READER = reader(MAX_TOKENS);

    private Json() {}

    /** Returns a reader of documents with at most {@code maxTokens}. */
    static ObjectReader reader(int maxTokens) {
        StreamReadConstraints constraints =
                StreamReadConstraints.builder().maxTokenCount(maxTokens).build();
        JsonFactory factory = JsonFactory.builder().streamReadConstraints(constraints).build();
        return new ObjectMapper(factory)
                .reader()
                .with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    }

    /**
     * Parses a document whose root must be a JSON object.
     *
     * @param kind kind of the error if the document is not valid
     */
    static JsonNode object(byte[] document, ErrorKind kind) throws ProxyException {
        return object(document, READER, kind);
    }

    /** Parses a document with a reader; its root must be a JSON object. */
    static JsonNode object(byte[] document, ObjectReader reader, ErrorKind kind)
            throws ProxyException {
        try {
            JsonNode node = reader.readTree(document);
            if (node != null && node.isObject()) {
                return node;
            }
        } catch (IOException e) {
            throw ProxyException.of(kind, "not valid JSON: " + e.getMessage(), e);
        }
        throw ProxyException.of(kind, "not a JSON object");
    }

    /** Parses a document whose root may be any value. */
    static JsonNode value(byte[] document) throws IOException {
        return READER.readTree(document);
    }

    static Stream<JsonNode> elements(JsonNode array) {
        return StreamSupport.stream(array.spliterator(), false);
    }

    /** Returns a required string field. */
    static String text(JsonNode object, String name, ErrorKind kind) throws ProxyException {
        JsonNode value = object.path(name);
        if (!value.isTextual()) {
            throw ProxyException.of(
                    kind, "'" + name + "' must be a string, but is " + typeOf(value));
        }
        return value.textValue();
    }

    /** Returns a required array field. */
    static JsonNode list(JsonNode object, String name, ErrorKind kind) throws ProxyException {
        JsonNode value = object.path(name);
        if (!value.isArray()) {
            throw ProxyException.of(
                    kind, "'" + name + "' must be an array, but is " + typeOf(value));
        }
        return value;
    }

    /** Returns a number field, or 0 if it is missing or null. */
    static double number(JsonNode object, String name, ErrorKind kind) throws ProxyException {
        JsonNode value = object.path(name);
        if (value.isMissingNode() || value.isNull()) {
            return 0;
        }
        if (!value.isNumber()) {
            throw ProxyException.of(
                    kind, "'" + name + "' must be a number, but is " + typeOf(value));
        }
        return value.doubleValue();
    }

    private static String typeOf(JsonNode value) {
        return value.isMissingNode() ? "missing" : value.getNodeType().toString();
    }
}
