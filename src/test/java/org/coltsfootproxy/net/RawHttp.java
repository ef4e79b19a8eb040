package org.coltsfootproxy.net;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

/** One end of an HTTP connection on a plain socket; sends and reads raw text. */
final class RawHttp implements AutoCloseable {
    private static final int READ_TIMEOUT_MILLIS = 30_000;

    private final Socket mSocket;

    RawHttp(InetSocketAddress address) throws IOException {
        mSocket = new Socket();
        mSocket.setSoTimeout(READ_TIMEOUT_MILLIS);
        mSocket.connect(address);
    }

    RawHttp(Socket socket) throws IOException {
        mSocket = socket;
        mSocket.setSoTimeout(READ_TIMEOUT_MILLIS);
    }

    RawHttp send(String text) throws IOException {
        mSocket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        mSocket.getOutputStream().flush();
        return this;
    }

    /** Reads until the received text ends with {@code end}. */
    String readUntil(String end) throws IOException {
        InputStream in = mSocket.getInputStream();
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        while (!out.toString(StandardCharsets.ISO_8859_1).endsWith(end)) {
            int b = in.read();
            if (b < 0) {
                throw new IOException(
                        "connection closed after: " + out.toString(StandardCharsets.ISO_8859_1));
            }
            out.write(b);
        }
        return out.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads until the other side closes the connection. */
    String readAll() throws IOException {
        return new String(mSocket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
    }

    Socket socket() {
        return mSocket;
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
