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
 * A node of parsed YAML with its place, which every error names.
 *
 * <p>Each value that is read is struck off; {@link #end} refuses names that nobody read.
 */
public final class PlacedNode {
    /** Reads a value. */
    public interface Reader<T> {
        /** Returns what the node holds, or refuses it by {@link PlacedNode#fault}. */
        T read(PlacedNode node) throws ProxyException;
    }

    private static final ObjectReader YAML =
            new ObjectMapper(new YAMLFactory())
                    .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .reader();

    private final Document mDocument;
    private final String mPlace;
    private final JsonNode mNode;
    private final Set<String> mRead = new LinkedHashSet<>();

    /** What is read, and the kind of its faults. */
    private record Document(String what, ErrorKind kind) {}

    private PlacedNode(Document document, String place, JsonNode node) {
        mDocument = document;
        mPlace = place;
        mNode = node;
    }

    /**
     * Returns the root of a YAML or JSON text in UTF-8.
     *
     * @param what what is read, for error messages
     * @param kind kind of all errors
     * @throws ProxyException of that kind if the text is not valid YAML
     */
    public static PlacedNode parse(byte[] yaml, String what, ErrorKind kind) throws ProxyException {
        try {
            return new PlacedNode(new Document(what, kind), "", YAML.readTree(yaml));
        } catch (JsonProcessingException e) {
            String detail = what + ": not valid YAML: " + e.getOriginalMessage();
            throw ProxyException.of(kind, detail, e);
        } catch (IOException e) {
            throw ProxyException.of(kind, what + ": not valid YAML", e);
        }
    }

    /** Returns an error that names the place. */
    public ProxyException fault(String message) {
        String place = mPlace.isEmpty() ? mDocument.what() : mPlace;
        return ProxyException.of(mDocument.kind(), place + ": " + message);
    }

    /** Returns the value of a name, which must be there. */
    public PlacedNode get(String name) throws ProxyException {
        mustBeMapping();
        PlacedNode child = child(name);
        if (child.isMissing()) {
            throw fault("'" + name + "' is missing");
        }
        return child;
    }

    private PlacedNode child(String name) {
        mRead.add(name);
        String place = mPlace.isEmpty() ? name : mPlace + "." + name;
        return new PlacedNode(mDocument, place, mNode.path(name));
    }

    /** Returns the value of a name, or {@code otherwise} if the name is not there. */
    public <T> T get(String name, Reader<T> reader, T otherwise) throws ProxyException {
        mustBeMapping();
        PlacedNode child = child(name);
        return child.isMissing() ? otherwise : reader.read(child);
    }

    /** Returns the elements of a list; empty if the name is not there. */
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
            String place = child.mPlace + "[" + values.size() + "]";
            values.add(reader.read(new PlacedNode(mDocument, place, element)));
        }
        return values;
    }

    /** Refuses names that were not read. */
    public void end() throws ProxyException {
        Set<String> unknown = new TreeSet<>();
        mNode.fieldNames().forEachRemaining(unknown::add);
        unknown.removeAll(mRead);
        if (!unknown.isEmpty()) {
            throw fault("unknown name " + unknown + "; known are " + mRead);
        }
    }

    /** Returns the text. */
    public String text() throws ProxyException {
        if (!mNode.isTextual()) {
            throw fault("must be text" + (mNode.isValueNode() ? "; put it in quotes" : ""));
        }
        return mNode.textValue();
    }

    /** Returns true or false. */
    public boolean flag() throws ProxyException {
        if (!mNode.isBoolean()) {
            throw fault("must be true or false");
        }
        return mNode.booleanValue();
    }

    /** Returns the whole number. */
    public long whole() throws ProxyException {
        if (!mNode.isIntegralNumber() || !mNode.canConvertToLong()) {
            throw fault("must be a whole number");
        }
        return mNode.longValue();
    }

    /** Returns the whole number, which must fit 32 bits. */
    public int small() throws ProxyException {
        long value = whole();
        if (value != (int) value) {
            throw fault(value + " is out of range");
        }
        return (int) value;
    }

    /** Returns the number. */
    public double number() throws ProxyException {
        if (!mNode.isNumber()) {
            throw fault("must be a number");
        }
        return mNode.doubleValue();
    }

    /** Returns the id that the text names. */
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
