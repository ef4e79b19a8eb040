package org.coltsfootproxy.soak;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** Reads and writes HTTP/1.1 messages over blocking sockets. */
final class Wire {
    private Wire() {}

    /** First line and header fields of a message; names of fields are in lower case. */
    record Head(String first, Map<String, String> fields) {
        String field(String name) {
            return fields.getOrDefault(name, "");
        }

        int status() {
            return Integer.parseInt(first.split(" ", 3)[1]);
        }

        String path() {
            return first.split(" ", 3)[1];
        }

        long length() {
            return fields.containsKey("content-length")
                    ? Long.parseLong(fields.get("content-length"))
                    : 0;
        }

        boolean isChunked() {
            return field("transfer-encoding").equalsIgnoreCase("chunked");
        }
    }

    static InetSocketAddress address(String text) {
        int colon = text.lastIndexOf(':');
        return new InetSocketAddress(
                text.substring(0, colon), Integer.parseInt(text.substring(colon + 1)));
    }

    /** Reads a head; interim responses are skipped. */
    static Head head(InputStream in) throws IOException {
        String first = line(in);
        Map<String, String> fields = new LinkedHashMap<>();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            if (colon > 0) {
                fields.put(
                        line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
            }
        }
        return first.startsWith("HTTP/1.1 1") ? head(in) : new Head(first, fields);
    }

    /** Reads the body of a response. */
    static byte[] body(InputStream in, Head head) throws IOException {
        if (head.isChunked()) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            for (byte[] chunk = chunk(in); chunk.length > 0; chunk = chunk(in)) {
                out.writeBytes(chunk);
            }
            return out.toByteArray();
        }
        return head.fields().containsKey("content-length")
                ? exactly(in, (int) head.length())
                : in.readAllBytes();
    }

    /** Reads a chunk of a body; the last one is empty. */
    static byte[] chunk(InputStream in) throws IOException {
        int size = Integer.parseInt(line(in).split(";")[0].trim(), 16);
        byte[] bytes = exactly(in, size);
        line(in);
        return bytes;
    }

    /** Reads and discards the body of a request. */
    static void skipBody(InputStream in, Head head) throws IOException {
        if (head.isChunked()) {
            body(in, head);
        } else {
            in.skipNBytes(head.length());
        }
    }

    static byte[] ascii(String text) {
        return text.getBytes(StandardCharsets.US_ASCII);
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the body is incomplete");
        }
        return bytes;
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                throw new EOFException("the connection has ended");
            }
            if (c != '\r') {
                line.append((char) c);
            }
        }
        return line.toString();
    }
}
