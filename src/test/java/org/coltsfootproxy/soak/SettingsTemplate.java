package org.coltsfootproxy.soak;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;

/** Fills in a settings template as the platform does: values, sections and inverted sections. */
final class SettingsTemplate {
    private SettingsTemplate() {}

    static String render(String text, JsonNode fields) {
        return render(text, List.of(fields), "", true);
    }

    private static String render(String text, List<JsonNode> scopes, String key, boolean last) {
        StringBuilder out = new StringBuilder();
        int at = 0;
        for (int open = text.indexOf("{{"); open >= 0; open = text.indexOf("{{", at)) {
            out.append(text, at, open);
            int close = text.indexOf("}}", open);
            String tag = text.substring(open + 2, close).trim();
            at = close + 2;
            if (tag.startsWith("#") || tag.startsWith("^")) {
                String name = tag.substring(1);
                String end = "{{/" + name + "}}";
                int endAt = text.indexOf(end, at);
                String inner = text.substring(at, endAt);
                at = endAt + end.length();
                out.append(section(tag.charAt(0) == '#', inner, find(scopes, name), scopes));
            } else if (tag.equals(",")) {
                out.append(last ? "" : ",");
            } else if (tag.equals("@")) {
                out.append(key);
            } else {
                out.append(value(tag.equals(".") ? scopes.get(0) : find(scopes, tag)));
            }
        }
        return out.append(text.substring(at)).toString();
    }

    private static String section(
            boolean isPlain, String inner, JsonNode value, List<JsonNode> scopes) {
        boolean isPresent =
                value != null
                        && !value.isNull()
                        && !(value.isBoolean() && !value.asBoolean())
                        && !(value.isContainerNode() && value.isEmpty());
        if (!isPlain || !isPresent) {
            return isPlain == isPresent ? render(inner, scopes, "", true) : "";
        }
        if (!value.isContainerNode()) {
            return render(inner, with(value, scopes), "", true);
        }
        StringBuilder out = new StringBuilder();
        List<String> keys = new ArrayList<>();
        value.fieldNames().forEachRemaining(keys::add);
        for (int i = 0; i < value.size(); i++) {
            JsonNode entry = value.isArray() ? value.get(i) : value.get(keys.get(i));
            String key = value.isArray() ? "" + i : keys.get(i);
            out.append(render(inner, with(entry, scopes), key, i == value.size() - 1));
        }
        return out.toString();
    }

    private static List<JsonNode> with(JsonNode first, List<JsonNode> scopes) {
        List<JsonNode> all = new ArrayList<>(List.of(first));
        all.addAll(scopes);
        return all;
    }

    private static JsonNode find(List<JsonNode> scopes, String name) {
        for (JsonNode scope : scopes) {
            JsonNode node = scope;
            for (String part : name.split("\\.")) {
                node =
                        node == null
                                ? null
                                : node.isArray()
                                        ? node.get(Integer.parseInt(part))
                                        : node.get(part);
            }
            if (node != null) {
                return node;
            }
        }
        return null;
    }

    private static String value(JsonNode node) {
        return node == null || node.isNull()
                ? ""
                : node.isValueNode() ? node.asText() : node.toString();
    }
}
