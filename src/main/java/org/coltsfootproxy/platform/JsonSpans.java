package org.coltsfootproxy.platform;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.IntUnaryOperator;

/**
 * Finds where the values of a JSON document begin and end, without parsing them.
 *
 * <p>A parser refuses a whole document if one value is nested too deeply, has too many digits or
 * holds bytes that are no text. Here such a value is passed over, so that the others can be parsed
 * one by one. Nesting takes no stack.
 */
final class JsonSpans {
    private final byte[] mDocument;

    private JsonSpans(byte[] document) {
        mDocument = document;
    }

    /**
     * Returns the fields of the object that is the document's root, by their names as written.
     *
     * @throws IllegalArgumentException if the root is not an object or doesn't end
     */
    static Map<String, byte[]> fields(byte[] document) {
        JsonSpans spans = new JsonSpans(document);
        Map<String, byte[]> fields = new LinkedHashMap<>();
        int begin = spans.skipBlanks(0);
        spans.expect(begin, '{');
        int end =
                spans.list(
                        begin,
                        '}',
                        at -> {
                            int nameEnd = spans.endOfString(at);
                            int colon = spans.skipBlanks(nameEnd);
                            spans.expect(colon, ':');
                            int from = spans.skipBlanks(colon + 1);
                            int to = spans.endOfValue(from);
                            fields.put(spans.text(at + 1, nameEnd - 1), spans.copy(from, to));
                            return to;
                        });
        int rest = spans.skipBlanks(end);
        if (rest < document.length) {
            throw new IllegalArgumentException("there is more after the object, at byte " + rest);
        }
        return fields;
    }

    /**
     * Returns the elements of an array.
     *
     * @throws IllegalArgumentException if the value is not an array or doesn't end
     */
    static List<byte[]> elements(byte[] array) {
        JsonSpans spans = new JsonSpans(array);
        List<byte[]> elements = new ArrayList<>();
        int begin = spans.skipBlanks(0);
        spans.expect(begin, '[');
        spans.list(
                begin,
                ']',
                at -> {
                    int end = spans.endOfValue(at);
                    elements.add(spans.copy(at, end));
                    return end;
                });
        return elements;
    }

    /**
     * Passes over a list of comma-separated elements.
     *
     * @param begin offset of the opening bracket
     * @param element returns the end of the element that begins at an offset
     * @return the offset after the closing bracket
     */
    private int list(int begin, char close, IntUnaryOperator element) {
        int at = skipBlanks(begin + 1);
        if (byteAt(at) == close) {
            return at + 1;
        }
        while (true) {
            at = skipBlanks(element.applyAsInt(at));
            if (byteAt(at) == close) {
                return at + 1;
            }
            expect(at, ',');
            at = skipBlanks(at + 1);
        }
    }

    private int endOfValue(int begin) {
        byte first = byteAt(begin);
        if (first == '"') {
            return endOfString(begin);
        }
        return first == '{' || first == '[' ? endOfBrackets(begin) : endOfWord(begin);
    }

    private int endOfBrackets(int begin) {
        int depth = 0;
        int at = begin;
        do {
            byte value = byteAt(at);
            if (value == '"') {
                at = endOfString(at) - 1;
            } else if (value == '{' || value == '[') {
                depth++;
            } else if (value == '}' || value == ']') {
                depth--;
            }
            at++;
        } while (depth > 0);
        return at;
    }

    private int endOfString(int begin) {
        expect(begin, '"');
        int at = begin + 1;
        while (byteAt(at) != '"') {
            at += byteAt(at) == '\\' ? 2 : 1;
        }
        return at + 1;
    }

    /** Returns the end of a number or of bytes that are no value at all. */
    private int endOfWord(int begin) {
        int at = begin;
        while (byteAt(at) != ',' && byteAt(at) != ']' && byteAt(at) != '}') {
            at++;
        }
        return at;
    }

    private int skipBlanks(int begin) {
        int at = begin;
        while (at < mDocument.length && mDocument[at] >= 0 && mDocument[at] <= ' ') {
            at++;
        }
        return at;
    }

    private byte byteAt(int at) {
        if (at >= mDocument.length) {
            throw new IllegalArgumentException("the document ends at byte " + mDocument.length);
        }
        return mDocument[at];
    }

    private void expect(int at, char expected) {
        if (byteAt(at) != expected) {
            throw new IllegalArgumentException("there is no '" + expected + "' at byte " + at);
        }
    }

    private byte[] copy(int from, int to) {
        return Arrays.copyOfRange(mDocument, from, to);
    }

    private String text(int from, int to) {
        return new String(mDocument, from, to - from, StandardCharsets.UTF_8);
    }
}
