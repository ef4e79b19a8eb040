package org.coltsfootproxy.runtime;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import java.net.URI;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.StreamSupport;
import org.coltsfootproxy.base.Names;

/**
 * Reads one mapping of a settings file and collects errors, each with the path of its value.
 *
 * <p>A method that finds an error returns a placeholder, so that one pass reports all errors.
 */
final class SettingsReader {
    private final JsonNode mNode;
    private final String mPath;
    private final List<String> mErrors;
    private final Set<String> mKnownNames = new HashSet<>();

    private SettingsReader(JsonNode node, String path, List<String> errors) {
        mNode = node;
        mPath = path;
        mErrors = errors;
    }

    /** Returns a reader of the top-level mapping that adds errors to {@code errors}. */
    static SettingsReader of(JsonNode root, List<String> errors) {
        if (!root.isObject()) {
            errors.add("the file must be a mapping of names to values");
        }
        return new SettingsReader(root, "", errors);
    }

    private String pathOf(String name) {
        return mPath.isEmpty() ? name : mPath + "." + name;
    }

    private JsonNode get(String name) {
        mKnownNames.add(name);
        JsonNode value = mNode.path(name);
        return value.isNull() ? MissingNode.getInstance() : value;
    }

    private void addError(String name, String expected) {
        JsonNode value = mNode.path(name);
        String found = value.isMissingNode() ? "is missing" : "is " + value;
        mErrors.add(pathOf(name) + " " + found + "; it must be " + expected);
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
        addError(name, "a name of letters, digits, '.', '_', ':', '@' and '-'");
        return "invalid";
    }

    /** Reads an optional string. */
    Optional<String> optionalText(String name) {
        JsonNode value = get(name);
        if (value.isMissingNode()) {
            return Optional.empty();
        }
        if (value.isTextual() && !value.asText().isEmpty()) {
            return Optional.of(value.asText());
        }
        addError(name, "a string that is not empty");
        return Optional.empty();
    }

    /** Reads an optional HTTP URL or file path. */
    Optional<URI> optionalUri(String name) {
        Optional<String> text = optionalText(name);
        try {
            return text.map(t -> t.startsWith("http://") ? URI.create(t) : Path.of(t).toUri());
        } catch (IllegalArgumentException e) {
            addError(name, "a file path or a URL such as http://10.1.2.3:80/hosts");
            return Optional.empty();
        }
    }

    /** Reads a string of at least {@code minLength} characters. */
    String text(String name, int minLength) {
        JsonNode value = get(name);
        if (value.isTextual() && value.asText().length() >= minLength) {
            return value.asText();
        }
        addError(name, "a string of at least " + minLength + " characters");
        return "";
    }

    /** Reads an IP address and port. */
    String address(String name) {
        JsonNode value = get(name);
        if (value.isTextual() && Addresses.isValid(value.asText())) {
            return value.asText();
        }
        addError(name, "an IP address and port, such as 10.1.2.3:7000");
        return "0.0.0.0:0";
    }

    /** Reads a list of IP addresses with ports, which may be empty. */
    List<String> addresses(String name) {
        JsonNode value = get(name);
        boolean isList =
                value.isArray()
                        && StreamSupport.stream(value.spliterator(), false)
                                .allMatch(v -> v.isTextual() && Addresses.isValid(v.asText()));
        if (!isList) {
            addError(name, "a list of IP addresses with ports, such as [10.1.2.3:7000]");
            return List.of();
        }
        return StreamSupport.stream(value.spliterator(), false).map(JsonNode::asText).toList();
    }

    /**
     * Reads a mapping of names to texts, which may be missing. A name with an empty text is left
     * out.
     */
    Map<String, String> names(String name) {
        JsonNode value = get(name);
        Map<String, String> texts = new LinkedHashMap<>();
        boolean isValid = value.isMissingNode() || value.isObject();
        for (Map.Entry<String, JsonNode> field : value.properties()) {
            JsonNode text = field.getValue();
            isValid &= Names.isValid(field.getKey()) && (text.isTextual() || text.isNull());
            if (!text.asText("").isEmpty()) {
                texts.put(field.getKey(), text.asText());
            }
        }
        if (!isValid) {
            addError(name, "a mapping of names to texts, such as {north-1: north}");
            return Map.of();
        }
        return texts;
    }

    /** Reads an integer from {@code min} to {@code max}, both inclusive. */
    long number(String name, long defaultValue, long min, long max) {
        JsonNode value = get(name);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (value.isIntegralNumber() && value.asLong() >= min && value.asLong() <= max) {
            return value.asLong();
        }
        addError(name, "an integer from " + min + " to " + max);
        return defaultValue;
    }

    /** Reads a boolean. */
    boolean flag(String name, boolean defaultValue) {
        JsonNode value = get(name);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        if (value.isBoolean()) {
            return value.asBoolean();
        }
        addError(name, "true or false");
        return defaultValue;
    }

    /** Reads an enum constant, written in lower case with hyphens. */
    <E extends Enum<E>> E choice(String name, E defaultValue) {
        JsonNode value = get(name);
        if (value.isMissingNode()) {
            return defaultValue;
        }
        E[] all = defaultValue.getDeclaringClass().getEnumConstants();
        Optional<E> found =
                java.util.Arrays.stream(all)
                        .filter(e -> label(e).equals(value.asText()))
                        .findFirst();
        if (found.isEmpty()) {
            String names =
                    java.util.Arrays.stream(all)
                            .map(SettingsReader::label)
                            .collect(Collectors.joining(", "));
            addError(name, "one of " + names);
        }
        return found.orElse(defaultValue);
    }

    private static String label(Enum<?> constant) {
        return constant.name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }

    /** Reads a mapping. */
    <T> T child(String name, Function<SettingsReader, T> read) {
        JsonNode value = get(name);
        if (!value.isObject()) {
            addError(name, "a mapping");
        }
        return readMapping(new SettingsReader(value, pathOf(name), mErrors), read);
    }

    /** Reads an optional mapping. */
    <T> Optional<T> optionalChild(String name, Function<SettingsReader, T> read) {
        return has(name) ? Optional.of(child(name, read)) : Optional.empty();
    }

    /** Reads a list of mappings. */
    <T> List<T> children(String name, Function<SettingsReader, T> read) {
        JsonNode value = get(name);
        if (!value.isMissingNode() && !value.isArray()) {
            addError(name, "a list");
        }
        List<JsonNode> nodes =
                StreamSupport.stream(value.spliterator(), false).collect(Collectors.toList());
        return IntStream.range(0, value.isArray() ? nodes.size() : 0)
                .mapToObj(i -> element(name, i, nodes.get(i)))
                .map(reader -> readMapping(reader, read))
                .collect(Collectors.toCollection(ArrayList::new));
    }

    private SettingsReader element(String name, int index, JsonNode node) {
        return new SettingsReader(node, pathOf(name) + "[" + index + "]", mErrors);
    }

    private static <T> T readMapping(SettingsReader reader, Function<SettingsReader, T> read) {
        T result = read.apply(reader);
        reader.rejectUnknownNames();
        return result;
    }

    /** Adds an error for each name in the mapping that no method has read. */
    void rejectUnknownNames() {
        mNode.fieldNames()
                .forEachRemaining(
                        name -> {
                            if (!mKnownNames.contains(name)) {
                                mErrors.add(
                                        pathOf(name)
                                                + " is unknown; known here are "
                                                + String.join(
                                                        ", ",
                                                        new java.util.TreeSet<>(mKnownNames)));
                            }
                        });
    }

    /** Adds an error that concerns this mapping as a whole. */
    void addError(String text) {
        mErrors.add(mPath.isEmpty() ? text : mPath + ": " + text);
    }
}
