import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;

/** A minimal HTTP/1.1 client: each call is made on a new connection. */
final class Http {
    /** Status of a call that got no complete response. */
    static final int NO_ANSWER = 0;

    /** Response to a call; {@code detail} says why there is none. */
    record Answer(int status, Map<String, String> headers, byte[] body, String detail) {
        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }

        static Answer none(String detail) {
            return new Answer(NO_ANSWER, Map.of(), new byte[0], detail);
        }
    }

    private Http() {}

    static Answer call(
            String address,
            String method,
            String path,
            Map<String, String> headers,
            byte[] body,
            int timeoutMillis) {
        try (Socket socket = new Socket()) {
            socket.connect(address(address), 1_000);
            socket.setSoTimeout(timeoutMillis);
            socket.setTcpNoDelay(true);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
            if (!headers.containsKey("Host")) {
                head.append("Host: " + address + "\r\n");
            }
            head.append("Connection: close\r\nContent-Length: " + body.length + "\r\n\r\n");
            socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.US_ASCII));
            socket.getOutputStream().write(body);
            socket.getOutputStream().flush();
            return read(socket.getInputStream());
        } catch (IOException e) {
            return Answer.none(e.toString());
        }
    }

    static InetSocketAddress address(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    private static Answer read(InputStream in) throws IOException {
        String[] first = line(in).split(" ", 3);
        int status = Integer.parseInt(first[1]);
        Map<String, String> headers = headers(in);
        return status == 100 ? read(in) : new Answer(status, headers, body(in, headers, true), "");
    }

    /** Reads header fields up to the empty line; names are in lower case. */
    static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new LinkedHashMap<>();
        for (String line = line(in); !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
        }
        return headers;
    }

    static byte[] body(InputStream in, Map<String, String> headers, boolean mayEndByClose)
            throws IOException {
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            for (int size = size(in); size > 0; size = size(in)) {
                out.write(exactly(in, size));
                line(in);
            }
            line(in);
            return out.toByteArray();
        }
        if (headers.containsKey("content-length")) {
            return exactly(in, Integer.parseInt(headers.get("content-length")));
        }
        return mayEndByClose ? in.readAllBytes() : new byte[0];
    }

    private static int size(InputStream in) throws IOException {
        return Integer.parseInt(line(in).split(";")[0].trim(), 16);
    }

    private static byte[] exactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("the body is incomplete");
        }
        return bytes;
    }

    /** Reads a line without its end. */
    static String line(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        int c = in.read();
        while (c != '\n') {
            if (c < 0) {
                throw new EOFException("the connection has ended");
            }
            if (c != '\r') {
                line.append((char) c);
            }
            c = in.read();
        }
        return line.toString();
    }
}
