package org.coltsfootproxy.net;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Decides whether the body of a target's response is delimited unambiguously.
 *
 * <p>A close-delimited response can't be distinguished from a truncated one, so it is rejected
 * unless the target's dialect allows it.
 */
final class ResponseCheck {
    private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    private ResponseCheck() {}

    /**
     * Returns why the head of a response to {@code method} is rejected, or empty if it is accepted.
     *
     * @param allowsCloseDelimited whether closing the connection may end a response without length
     */
    static Optional<String> rejectionReason(
            HttpResponse head, String method, boolean allowsCloseDelimited) {
        List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        List<String> lengths = head.headers().getAll(HttpHeaderNames.CONTENT_LENGTH);
        if (!codings.isEmpty() && !lengths.isEmpty()) {
            return Optional.of("response with both Content-Length and Transfer-Encoding");
        }
        if (!codings.isEmpty() && head.protocolVersion().equals(HttpVersion.HTTP_1_0)) {
            return Optional.of("HTTP/1.0 response with Transfer-Encoding");
        }
        if (!lengths.stream().allMatch(length -> LENGTH.matcher(length).matches())) {
            return Optional.of("response with an invalid Content-Length");
        }
        if (isBodiless(head.status().code(), method)) {
            return Optional.empty();
        }
        boolean chunked = codings.size() == 1 && codings.get(0).equalsIgnoreCase("chunked");
        if (!codings.isEmpty() && !chunked) {
            return Optional.of("response with Transfer-Encoding other than chunked");
        }
        return chunked || lengths.size() == 1 || allowsCloseDelimited && lengths.isEmpty()
                ? Optional.empty()
                : Optional.of("response without Content-Length or chunked encoding");
    }

    /** Returns whether the head tells where the body ends. */
    static boolean isFramed(HttpResponse head) {
        return HttpUtil.isTransferEncodingChunked(head) || HttpUtil.isContentLengthSet(head);
    }

    /** Returns whether the body of a response to {@code method} ends with the connection. */
    static boolean endsByClose(HttpResponse head, String method) {
        return !isFramed(head) && !isBodiless(head.status().code(), method);
    }

    /** Returns whether a response has no body, whatever its header fields say. */
    static boolean isBodiless(int status, String method) {
        return method.equals("HEAD") || status == NO_CONTENT || status == NOT_MODIFIED;
    }
}
