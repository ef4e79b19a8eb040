package org.coltsfootproxy.platform;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;

/** A caller's connection that reports whether an answer is complete by its own framing. */
final class CallerSocket implements AutoCloseable {
    private static final int READ_TIMEOUT_MILLIS = 20_000;

    private final Socket mSocket = new Socket();

    /**
     * An answer as it was received.
     *
     * @param status 0 if no complete head arrived
     * @param isComplete whether the answer looks complete to the caller
     */
    record Answer(int status, String head, String body, boolean isComplete) {}

    CallerSocket(InetSocketAddress address) throws IOException {
        mSocket.setSoTimeout(READ_TIMEOUT_MILLIS);
        mSocket.connect(address);
    }

    CallerSocket send(String text) throws IOException {
        mSocket.getOutputStream().write(text.getBytes(ISO_8859_1));
        mSocket.getOutputStream().flush();
        return this;
    }

    Socket socket() {
        return mSocket;
    }

    /** Reads the answer to one request, or what there is of it when the connection ends. */
    Answer read() throws IOException {
        Reader reader = new Reader(mSocket.getInputStream());
        String head = reader.until("\r\n\r\n");
        if (!head.endsWith("\r\n\r\n")) {
            return new Answer(0, head, "", false);
        }
        int status = Integer.parseInt(head.split(" ")[1]);
        String fields = head.toLowerCase();
        if (fields.contains("transfer-encoding: chunked")) {
            return chunked(reader, status, head);
        }
        int at = fields.indexOf("content-length:");
        if (at < 0) {
            String body = reader.bytes(Integer.MAX_VALUE);
            return new Answer(status, head, body, !reader.mIsReset);
        }
        int length = Integer.parseInt(fields.substring(at + 15, fields.indexOf('\r', at)).strip());
        String body = reader.bytes(length);
        return new Answer(status, head, body, body.length() == length);
    }

    private static Answer chunked(Reader reader, int status, String head) throws IOException {
        StringBuilder body = new StringBuilder();
        while (true) {
            String size = reader.until("\r\n");
            if (!size.endsWith("\r\n")) {
                return new Answer(status, head, body.toString(), false);
            }
            int bytes = Integer.parseInt(size.strip(), 16);
            String chunk = reader.bytes(bytes);
            body.append(chunk);
            String end = reader.until("\r\n");
            if (chunk.length() < bytes || !end.equals("\r\n") || bytes == 0) {
                return new Answer(status, head, body.toString(), end.equals("\r\n") && bytes == 0);
            }
        }
    }

    /** Reads until the connection ends and notes whether that was a reset. */
    private static final class Reader {
        private final InputStream mIn;
        private boolean mIsReset;

        Reader(InputStream in) {
            mIn = in;
        }

        private int next() throws IOException {
            try {
                return mIn.read();
            } catch (java.net.SocketTimeoutException e) {
                throw e;
            } catch (IOException e) {
                mIsReset = true;
                return -1;
            }
        }

        String until(String end) throws IOException {
            var out = new ByteArrayOutputStream();
            int b = 0;
            while (b >= 0 && !out.toString(ISO_8859_1).endsWith(end)) {
                b = next();
                if (b >= 0) {
                    out.write(b);
                }
            }
            return out.toString(ISO_8859_1);
        }

        String bytes(int count) throws IOException {
            var out = new ByteArrayOutputStream();
            int b = 0;
            while (b >= 0 && out.size() < count) {
                b = next();
                if (b >= 0) {
                    out.write(b);
                }
            }
            return out.toString(ISO_8859_1);
        }
    }

    @Override
    public void close() throws IOException {
        mSocket.close();
    }
}
