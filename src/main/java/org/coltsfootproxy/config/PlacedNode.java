package org.coltsfootproxy.config;

import com.fasterxml.jackson.databind.JsonNode;
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
final class PlacedNode {
    /** Reads one element of a list. */
    interface Reader<T> {
        T read(PlacedNode node) throws ProxyException;
    }

    private final String mPlace;
    private final JsonNode mNode;
    private final Set<String> mRead = new LinkedHashSet<>();

    private PlacedNode(String place, JsonNode node) {
        mPlace = place;
        mNode = node;
    }

    /** Returns the root of a ticket. */
    static PlacedNode root(JsonNode node) {
        return new PlacedNode("", node);
    }

    ProxyException fault(String message) {
        String place = mPlace.isEmpty() ? "ticket" : mPlace;
        return ProxyException.of(ErrorKind.INVALID_TICKET, place + ": " + message);
    }

    /** Returns the value of a name, which must be there. */
    PlacedNode get(String name) throws ProxyException {
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
        return new PlacedNode(place, mNode.path(name));
    }

    /** Returns the value of a name, or {@code otherwise} if the name is not there. */
    <T> T get(String name, Reader<T> reader, T otherwise) throws ProxyException {
        mustBeMapping();
        PlacedNode child = child(name);
        return child.isMissing() ? otherwise : reader.read(child);
    }

    /** Returns the elements of a list; empty if the name is not there. */
    <T> List<T> list(String name, Reader<T> reader) throws ProxyException {
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
            values.add(reader.read(new PlacedNode(place, element)));
        }
        return values;
    }

    /** Refuses names that were not read. */
    void end() throws ProxyException {
        Set<String> unknown = new TreeSet<>();
        mNode.fieldNames().forEachRemaining(unknown::add);
        unknown.removeAll(mRead);
        if (!unknown.isEmpty()) {
            throw fault("unknown name " + unknown + "; known are " + mRead);
        }
    }

    String text() throws ProxyException {
        if (!mNode.isTextual()) {
            throw fault("must be text" + (mNode.isValueNode() ? "; put it in quotes" : ""));
        }
        return mNode.textValue();
    }

    boolean flag() throws ProxyException {
        if (!mNode.isBoolean()) {
            throw fault("must be true or false");
        }
        return mNode.booleanValue();
    }

    long whole() throws ProxyException {
        if (!mNode.isIntegralNumber() || !mNode.canConvertToLong()) {
            throw fault("must be a whole number");
        }
        return mNode.longValue();
    }

    int small() throws ProxyException {
        long value = whole();
        if (value != (int) value) {
            throw fault(value + " is out of range");
        }
        return (int) value;
    }

    double number() throws ProxyException {
        if (!mNode.isNumber()) {
            throw fault("must be a number");
        }
        return mNode.doubleValue();
    }

    /** Returns the id that the text names. */
    <T> T id(Function<String, T> of) throws ProxyException {
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
