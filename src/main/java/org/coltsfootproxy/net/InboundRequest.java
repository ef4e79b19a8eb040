package org.coltsfootproxy.net;

import java.util.List;
import org.coltsfootproxy.message.Header;

/**
 * A completely received HTTP request of a caller.
 *
 * @param path path with query
 * @param headers the end-to-end fields, without Content-Length
 * @param keepAlive whether the caller allows the connection to be reused
 * @param acceptsChunked whether the response may use chunked transfer coding (HTTP/1.1)
 * @param receivedNanos when the head was received
 */
record InboundRequest(
        String method,
        String path,
        List<Header> headers,
        byte[] body,
        boolean keepAlive,
        boolean acceptsChunked,
        long receivedNanos) {
    private static final byte[] NO_BODY = {};

    /** Returns this request without its body. */
    InboundRequest withoutBody() {
        return withBody(NO_BODY);
    }

    /** Returns this request with another body. */
    InboundRequest withBody(byte[] bytes) {
        return new InboundRequest(
                method, path, headers, bytes, keepAlive, acceptsChunked, receivedNanos);
    }

    /** Returns whether the method is HEAD, so that the response has no body. */
    boolean isHead() {
        return method.equals("HEAD");
    }
}
