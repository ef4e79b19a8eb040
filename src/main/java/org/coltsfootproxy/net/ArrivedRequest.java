package org.coltsfootproxy.net;

import java.util.List;
import org.coltsfootproxy.message.Header;

/**
 * A whole request of a caller.
 *
 * @param path path with query
 * @param headers the end-to-end fields without the length
 * @param keepAlive whether the caller lets the connection be used again
 * @param chunksUnderstood whether the answer may be sent in chunks
 */
record ArrivedRequest(
        String method,
        String path,
        List<Header> headers,
        byte[] body,
        boolean keepAlive,
        boolean chunksUnderstood) {
    /** Tells whether the answer has no body whatever its fields say. */
    boolean isHead() {
        return method.equals("HEAD");
    }
}
