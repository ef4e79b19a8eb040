package org.coltsfootproxy.runtime;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.net.URI;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.StreamSupport;
import org.coltsfootproxy.base.Names;

/**
 * Reads one mapping of a settings file and collects every fault with its place.
 *
 * <p>A fault yields a stand-in value, so that reading goes on and all faults come out at once.
 */
final class SettingsReader {
    private final JsonNode mNode;
    private final String mPlace;
    private final List<String> mFaults;
    private final Set<String> mRead = new HashSet<>();

    private SettingsReader(JsonNode node, String place, List<String> faults) {
        mNode = node;
        mPlace = place;
        mFaults = faults;
    }

    /** Returns a reader of the whole file that adds faults to {@code faults}. */
    static SettingsReader of(JsonNode root, List<String> faults) {
        if (!root.isObject()) {
            faults.add("the file must be a mapping of names to values");
        }
        return new SettingsReader(root, "", faults);
    }

    private String place(String name) {
        return mPlace.isEmpty() ? name : mPlace + "." + name;
    }

    private JsonNode get(String name) {
        mRead.add(name);
        JsonNode value = mNode.path(name);
        return value.isNull() ? MissingNode.getInstance() : value;
    }

    private void fault(String name, String expected) {
        JsonNode value = mNode.path(name);
        String found = value.isMissingNode() ? "is missing" : "is " + value;
        mFaults.add(place(name) + " " + found + "; it must be " + expected);
    }

    boolean has(String name) {
        return !get(name).isMissingNode();
    }

    /** Reads a name such as a host id. */
    String name(String name) {
        JsonNode value = get(name);
        if (value.isTextual() && Names.isValid(value.asText())) {
            return value.asText();
        }
        fault(name, "a name of letters, digits, '.', '_', ':', '@' and '-'");
        return "invalid";
    }

    /** Reads a text that may be left out. */
    Optional<String> optionalText(String name) {
        JsonNode value = get(name);
        if (value.isMissingNode()) {
            return Optional.empty();
        }
        if (value.isTextual() && !value.asText().isEmpty()) {
            return Optional.of(value.asText());
        }
        fault(name, "a text that is not empty");
        return Optional.empty();
    }

    /** Reads an HTTP address or the path of a file, which may be left out. */
    Optional<URI> optionalUri(String name) {
        Optional<String> text = optionalText(name);
        try {
            return text.map(t -> t.startsWith("http://") ? URI.create(t) : Path.of(t).toUri());
        } catch (IllegalArgumentException e) {
            fault(name, "the path of a file or an address such as http://10.1.2.3:80/hosts");
            return Optional.empty();
        }
    }

    /** Reads a text of at least {@code minLength} characters. */
    String text(String name, int minLength) {
        JsonNode value = get(name);
        if (value.isTextual() && value.asText().length() >= minLength) {
            return value.asText();
        }
        fault(name, "a text of at least " + minLength + " characters");
        return "";
    }

    /** Reads an IP number with a port. */
    String address(String name) {
        JsonNode value = get(name);
        if (value.isTextual() && Addresses.isValid(value.asText())) {
            return value.asText();
        }
        fault(name, "an IP number and a port, such as 10.1.2.3:7000");
        return "0.0.0.0:0";
    }

    /** Returns a list of addresses, which may be empty. */
    List<String> addresses(String name) {
        JsonNode value = get(name);
        boolean isList =
                value.isArray()
                        && StreamSupport.stream(value.spliterator(), false)
                                .allMatch(v -> v.isTextual() && Addresses.isValid(v.asText()));
        if (!isList) {
            fault(name, "a list of IP numbers with ports, such as [10.1.2.3:7000]");
            return List.of();
        }
        return StreamSupport.stream(value.spliterator(), false).map(JsonNode::asText).toList();
    }

    /** Reads a whole number between two bounds, both included. */
    long number(String name, long otherwise, long min, long max) {
        JsonNode value = get(name);
        if (value.isMissingNode()) {
            return otherwise;
        }
        if (value.isIntegralNumber() && value.asLong() >= min && value.asLong() <= max) {
            return value.asLong();
        }
        fault(name, "a whole number from " + min + " to " + max);
        return otherwise;
    }

    /** Reads true or false. */
    boolean flag(String name, boolean otherwise) {
        JsonNode value = get(name);
        if (value.isMissingNode()) {
            return otherwise;
        }
        if (value.isBoolean()) {
            return value.asBoolean();
        }
        fault(name, "true or false");
        return otherwise;
    }

    /** Reads one of the names of an enum, in lower case with hyphens. */
    <E extends Enum<E>> E choice(String name, E otherwise) {
        JsonNode value = get(name);
        if (value.isMissingNode()) {
            return otherwise;
        }
        E[] all = otherwise.getDeclaringClass().getEnumConstants();
        Optional<E> found =
                java.util.Arrays.stream(all)
                        .filter(e -> label(e).equals(value.asText()))
                        .findFirst();
        if (found.isEmpty()) {
            String names =
                    java.util.Arrays.stream(all)
                            .map(SettingsReader::label)
                            .collect(Collectors.joining(", "));
            fault(name, "one of " + names);
        }
        return found.orElse(otherwise);
    }

    private static String label(Enum<?> constant) {
        return constant.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }

    /** Reads a mapping. */
    <T> T child(String name, Function<SettingsReader, T> read) {
        JsonNode value = get(name);
        if (!value.isObject()) {
            fault(name, "a mapping");
        }
        return readWhole(new SettingsReader(value, place(name), mFaults), read);
    }

    /** Reads a mapping that may be left out. */
    <T> Optional<T> optionalChild(String name, Function<SettingsReader, T> read) {
        return has(name) ? Optional.of(child(name, read)) : Optional.empty();
    }

    /** Reads a list of mappings. */
    <T> List<T> children(String name, Function<SettingsReader, T> read) {
        JsonNode value = get(name);
        if (!value.isMissingNode() && !value.isArray()) {
            fault(name, "a list");
        }
        List<JsonNode> nodes =
                StreamSupport.stream(value.spliterator(), false).collect(Collectors.toList());
        return IntStream.range(0, value.isArray() ? nodes.size() : 0)
                .mapToObj(i -> element(name, i, nodes.get(i)))
                .map(reader -> readWhole(reader, read))
                .collect(Collectors.toCollection(ArrayList::new));
    }

    private SettingsReader element(String name, int index, JsonNode node) {
        return new SettingsReader(node, place(name) + "[" + index + "]", mFaults);
    }

    private static <T> T readWhole(SettingsReader reader, Function<SettingsReader, T> read) {
        T result = read.apply(reader);
        reader.checkAllRead();
        return result;
    }

    /** Adds a fault for each name that was never read. */
    void checkAllRead() {
        mNode.fieldNames()
                .forEachRemaining(
                        name -> {
                            if (!mRead.contains(name)) {
                                mFaults.add(
                                        place(name)
                                                + " is unknown; known here are "
                                                + String.join(
                                                        ", ", new java.util.TreeSet<>(mRead)));
                            }
                        });
    }

    /** Adds a fault at this mapping. */
    void fault(String text) {
        mFaults.add(mPlace.isEmpty() ? text : mPlace + ": " + text);
    }
}
