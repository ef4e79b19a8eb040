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
 * <p>The names that are read are recorded, and {@link #end} rejects all others as unknown.
 */
public final class PlacedNode {
    /** Converts a node to a value. */
    public interface Reader<T> {
        /** Returns the value of the node, or throws {@link PlacedNode#fault} if it is not valid. */
        T read(PlacedNode node) throws ProxyException;
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

    private PlacedNode(Document document, String path, JsonNode node) {
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
    public static PlacedNode parse(byte[] yaml, String documentName, ErrorKind kind)
            throws ProxyException {
        try {
            return new PlacedNode(new Document(documentName, kind), "", YAML.readTree(yaml));
        } catch (JsonProcessingException e) {
            String detail = documentName + ": not valid YAML: " + e.getOriginalMessage();
            throw ProxyException.of(kind, detail, e);
        } catch (IOException e) {
            throw ProxyException.of(kind, documentName + ": not valid YAML", e);
        }
    }

    /** Returns an error whose message starts with the path of this node. */
    public ProxyException fault(String message) {
        String path = mPath.isEmpty() ? mDocument.documentName() : mPath;
        return ProxyException.of(mDocument.kind(), path + ": " + message);
    }

    /** Returns the value of a name, which must be present. */
    public PlacedNode get(String name) throws ProxyException {
        mustBeMapping();
        PlacedNode child = child(name);
        if (child.isMissing()) {
            throw fault("'" + name + "' is missing");
        }
        return child;
    }

    private PlacedNode child(String name) {
        mReadNames.add(name);
        String path = mPath.isEmpty() ? name : mPath + "." + name;
        return new PlacedNode(mDocument, path, mNode.path(name));
    }

    /** Returns the value of a name, or {@code defaultValue} if the name is absent. */
    public <T> T get(String name, Reader<T> reader, T defaultValue) throws ProxyException {
        mustBeMapping();
        PlacedNode child = child(name);
        return child.isMissing() ? defaultValue : reader.read(child);
    }

    /** Returns the elements of a list; empty if the name is absent. */
    public <T> List<T> list(String name, Reader<T> reader) throws ProxyException {
        mustBeMapping();
        PlacedNode child = child(name);
        List<T> values = new ArrayList<>();
        if (child.isMissing()) {
            return values;
        }
        if (!child.mNode.isArray()) {
            throw child.fault("must be a list");
        }
        for (JsonNode element : child.mNode) {
            String path = child.mPath + "[" + values.size() + "]";
            values.add(reader.read(new PlacedNode(mDocument, path, element)));
        }
        return values;
    }

    /** Rejects names that were not read. */
    public void end() throws ProxyException {
        Set<String> unknown = new TreeSet<>();
        mNode.fieldNames().forEachRemaining(unknown::add);
        unknown.removeAll(mReadNames);
        if (!unknown.isEmpty()) {
            throw fault("unknown name " + unknown + "; expected names are " + mReadNames);
        }
    }

    /** Returns the value of a text node. */
    public String text() throws ProxyException {
        if (!mNode.isTextual()) {
            throw fault("must be text" + (mNode.isValueNode() ? "; put it in quotes" : ""));
        }
        return mNode.textValue();
    }

    /** Returns the value of a boolean node. */
    public boolean flag() throws ProxyException {
        if (!mNode.isBoolean()) {
            throw fault("must be true or false");
        }
        return mNode.booleanValue();
    }

    /** Returns the value of an integer node. */
    public long whole() throws ProxyException {
        if (!mNode.isIntegralNumber() || !mNode.canConvertToLong()) {
            throw fault("must be a whole number");
        }
        return mNode.longValue();
    }

    /** Returns the value of an integer node, which must fit 32 bits. */
    public int intValue() throws ProxyException {
        long value = whole();
        if (value != (int) value) {
            throw fault(value + " is out of range for a 32-bit integer");
        }
        return (int) value;
    }

    /** Returns the value of a numeric node. */
    public double number() throws ProxyException {
        if (!mNode.isNumber()) {
            throw fault("must be a number");
        }
        return mNode.doubleValue();
    }

    /** Returns the id that the text node holds. */
    public <T> T id(Function<String, T> of) throws ProxyException {
        String text = text();
        try {
            return of.apply(text);
        } catch (IllegalArgumentException e) {
            throw fault(e.getMessage());
        }
    }

    private boolean isMissing() {
        return mNode.isMissingNode();
    }

    private void mustBeMapping() throws ProxyException {
        if (!mNode.isObject()) {
            throw fault("must be a mapping of names to values");
        }
    }
}
