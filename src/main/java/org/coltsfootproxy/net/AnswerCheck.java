package org.coltsfootproxy.net;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import java.util.List;
import java.util.Optional;

/**
 * Decides whether the head of a target's answer says how the answer ends.
 *
 * <p>An answer that ends with its connection can hardly be told from one that broke off, so it is
 * refused unless the target is known to send such answers.
 */
final class AnswerCheck {
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private AnswerCheck() {}

    /**
     * Returns what is wrong with the head of an answer to {@code method}, or empty.
     *
     * @param endsByClosing whether an answer without a length may end with its connection
     */
    static Optional<String> fault(HttpResponse head, String method, boolean endsByClosing) {
        List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        List<String> lengths = head.headers().getAll(HttpHeaderNames.CONTENT_LENGTH);
        if (!codings.isEmpty() && !lengths.isEmpty()) {
            return Optional.of("answer with both Content-Length and Transfer-Encoding");
        }
        if (isWithoutBody(head.status().code(), method)) {
            return Optional.empty();
        }
        boolean chunked = codings.size() == 1 && codings.get(0).equalsIgnoreCase("chunked");
        if (!codings.isEmpty() && !chunked) {
            return Optional.of("answer with Transfer-Encoding other than chunked");
        }
        return chunked || lengths.size() == 1 || endsByClosing && lengths.isEmpty()
                ? Optional.empty()
                : Optional.of("answer without Content-Length or chunks");
    }

    private static boolean isWithoutBody(int status, String method) {
        return method.equals("HEAD") || status == NO_CONTENT || status == NOT_MODIFIED;
    }
}
