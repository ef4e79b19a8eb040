package org.coltsfootproxy.config;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.dataformat.yaml.YAMLFactory;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;

/**
 * A node of parsed YAML with its path in the document, which every error message includes.
 *
 * <p>The names that are read are recorded, and {@link #rejectUnknownNames} rejects all others as
 * unknown.
 */
public final class YamlNode {
    /** Converts a node to a value. */
    public interface Reader<T> {
        /** Returns the value of the node, or throws {@link YamlNode#error} if it is not valid. */
        T read(YamlNode node) throws ProxyException;
    }

    private static final ObjectReader YAML =
            new ObjectMapper(new YAMLFactory())
                    .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .reader();

    private final Document mDocument;
    private final String mPath;
    private final JsonNode mNode;
    private final Set<String> mReadNames = new LinkedHashSet<>();

    /** The name of the document for error messages, and the kind of its errors. */
    private record Document(String documentName, ErrorKind kind) {}

    private YamlNode(Document document, String path, JsonNode node) {
        mDocument = document;
        mPath = path;
        mNode = node;
    }

    /**
     * Parses YAML or JSON text in UTF-8 and returns its root.
     *
     * @param documentName name of the document, for error messages
     * @param kind kind of all errors
     * @throws ProxyException of that kind if the text is not valid YAML
     */
    public static YamlNode parse(byte[] yaml, String documentName, ErrorKind kind)
            throws ProxyException {
        try {
            return new YamlNode(new Document(documentName, kind), "", YAML.readTree(yaml));
        } catch (JsonProcessingException e) {
            String detail = documentName + ": not valid YAML: " + e.getOriginalMessage();
            throw ProxyException.of(kind, detail, e);
        } catch (IOException e) {
            throw ProxyException.of(kind, documentName + ": not valid YAML", e);
        }
    }

    /** Returns an error whose message starts with the path of this node. */
    public ProxyException error(String message) {
        String path = mPath.isEmpty() ? mDocument.documentName() : mPath;
        return ProxyException.of(mDocument.kind(), path + ": " + message);
    }

    /** Returns the value of a name, which must be present. */
    public YamlNode get(String name) throws ProxyException {
        mustBeMapping();
        YamlNode child = child(name);
        if (child.isMissing()) {
            throw error("'" + name + "' is missing");
        }
        return child;
    }

    private YamlNode child(String name) {
        mReadNames.add(name);
        String path = mPath.isEmpty() ? name : mPath + "." + name;
        return new YamlNode(mDocument, path, mNode.path(name));
    }

    /** Returns the value of a name, or {@code defaultValue} if the name is absent. */
    public <T> T get(String name, Reader<T> reader, T defaultValue) throws ProxyException {
        mustBeMapping();
        YamlNode child = child(name);
        return child.isMissing() ? defaultValue : reader.read(child);
    }

    /** Returns the elements of a list; empty if the name is absent. */
    public <T> List<T> list(String name, Reader<T> reader) throws ProxyException {
        mustBeMapping();
        YamlNode child = child(name);
        List<T> values = new ArrayList<>();
        if (child.isMissing()) {
            return values;
        }
        if (!child.mNode.isArray()) {
            throw child.error("must be a list");
        }
        for (JsonNode element : child.mNode) {
            String path = child.mPath + "[" + values.size() + "]";
            values.add(reader.read(new YamlNode(mDocument, path, element)));
        }
        return values;
    }

    /** Rejects names that were not read. */
    public void rejectUnknownNames() throws ProxyException {
        Set<String> unknown = new TreeSet<>();
        mNode.fieldNames().forEachRemaining(unknown::add);
        unknown.removeAll(mReadNames);
        if (!unknown.isEmpty()) {
            throw error("unknown name " + unknown + "; expected names are " + mReadNames);
        }
    }

    /** Returns the value of a text node. */
    public String text() throws ProxyException {
        if (!mNode.isTextual()) {
            throw error("must be text" + (mNode.isValueNode() ? "; put it in quotes" : ""));
        }
        return mNode.textValue();
    }

    /** Returns the value of a boolean node. */
    public boolean flag() throws ProxyException {
        if (!mNode.isBoolean()) {
            throw error("must be true or false");
        }
        return mNode.booleanValue();
    }

    /** Returns the value of an integer node. */
    public long longValue() throws ProxyException {
        if (!mNode.isIntegralNumber() || !mNode.canConvertToLong()) {
            throw error("must be a whole number");
        }
        return mNode.longValue();
    }

    /** Returns the value of an integer node, which must fit 32 bits. */
    public int intValue() throws ProxyException {
        long value = longValue();
        if (value != (int) value) {
            throw error(value + " is out of range for a 32-bit integer");
        }
        return (int) value;
    }

    /** Returns the value of a numeric node. */
    public double number() throws ProxyException {
        if (!mNode.isNumber()) {
            throw error("must be a number");
        }
        return mNode.doubleValue();
    }

    /** Returns the id that the text node holds. */
    public <T> T id(Function<String, T> of) throws ProxyException {
        String text = text();
        try {
            return of.apply(text);
        } catch (IllegalArgumentException e) {
            throw error(e.getMessage());
        }
    }

    private boolean isMissing() {
        return mNode.isMissingNode();
    }

    private void mustBeMapping() throws ProxyException {
        if (!mNode.isObject()) {
            throw error("must be a mapping of names to values");
        }
    }
}
