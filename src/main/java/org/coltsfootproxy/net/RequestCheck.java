package org.coltsfootproxy.net;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import java.util.List;
import java.util.Optional;
import java.util.regex.Pattern;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.node.Problem;

/**
 * Decides whether the head of a request is accepted.
 *
 * <p>Prevents request smuggling: a request that two HTTP parsers could interpret differently is
 * rejected (RFC 9112 sections 5 and 6).
 */
final class RequestCheck {
    private static final Pattern LENGTH = Pattern.compile("[0-9]{1,18}");
    private static final Pattern HOST =
            Pattern.compile("([A-Za-z0-9._~%!$&'()*+,;=-]*|\\[[0-9A-Fa-f:.]+])(:[0-9]{1,5})?");
    private static final Pattern PATH = Pattern.compile("/[\\x21\\x22\\x24-\\x7e]*");

    private final int mMaxBodyBytes;

    private RequestCheck(int maxBodyBytes) {
        mMaxBodyBytes = maxBodyBytes;
    }

    /** Returns a check with the given limit; the decoder limits heads before they are parsed. */
    static RequestCheck of(int maxBodyBytes) {
        return new RequestCheck(maxBodyBytes);
    }

    /** Returns why the request is rejected, or empty if it is accepted. */
    Optional<Problem> rejectionOf(HttpRequest request) {
        if (request.decoderResult().isFailure()) {
            return Optional.of(undecodable(request.decoderResult().cause()));
        }
        return checkRequestLine(request)
                .or(() -> checkHost(request))
                .or(() -> checkFraming(request))
                .or(() -> checkExpectation(request.headers()));
    }

    /** Returns the problem of a request that could not be decoded. */
    static Problem undecodable(Throwable cause) {
        boolean large =
                cause instanceof TooLongHttpHeaderException
                        || cause instanceof TooLongHttpLineException;
        return large
                ? Problem.of(
                        ErrorKind.HEADERS_TOO_LARGE,
                        "the request line or the header fields are too long")
                : malformed("the request can't be decoded: " + cause.getMessage());
    }

    private static Optional<Problem> checkRequestLine(HttpRequest request) {
        boolean supported =
                request.protocolVersion().equals(HttpVersion.HTTP_1_1)
                        || request.protocolVersion().equals(HttpVersion.HTTP_1_0);
        if (!supported) {
            return rejection(
                    ErrorKind.MALFORMED_REQUEST, "only HTTP/1.1 and HTTP/1.0 are supported");
        }
        return PATH.matcher(request.uri()).matches()
                ? Optional.empty()
                : rejection(
                        ErrorKind.MALFORMED_REQUEST, "the request target must be an absolute path");
    }

    private static Optional<Problem> checkHost(HttpRequest request) {
        List<String> hosts = request.headers().getAll(HttpHeaderNames.HOST);
        boolean required = request.protocolVersion().equals(HttpVersion.HTTP_1_1);
        if (hosts.size() > 1 || (required && hosts.isEmpty())) {
            return rejection(ErrorKind.MALFORMED_REQUEST, hosts.size() + " Host fields");
        }
        return hosts.stream().allMatch(h -> HOST.matcher(h).matches())
                ? Optional.empty()
                : rejection(ErrorKind.MALFORMED_REQUEST, "invalid Host field");
    }

    private Optional<Problem> checkFraming(HttpRequest request) {
        List<String> lengths = request.headers().getAll(HttpHeaderNames.CONTENT_LENGTH);
        List<String> codings = request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (!codings.isEmpty()) {
            return checkTransferEncoding(request, codings, lengths);
        }
        if (lengths.size() > 1) {
            return rejection(ErrorKind.MALFORMED_REQUEST, "several Content-Length fields");
        }
        return lengths.stream().findFirst().flatMap(this::checkContentLength);
    }

    private static Optional<Problem> checkTransferEncoding(
            HttpRequest request, List<String> codings, List<String> lengths) {
        if (!lengths.isEmpty()) {
            return rejection(
                    ErrorKind.MALFORMED_REQUEST, "both Content-Length and Transfer-Encoding");
        }
        boolean chunked = codings.size() == 1 && codings.get(0).equalsIgnoreCase("chunked");
        boolean allowed = request.protocolVersion().equals(HttpVersion.HTTP_1_1);
        return chunked && allowed
                ? Optional.empty()
                : rejection(ErrorKind.MALFORMED_REQUEST, "Transfer-Encoding other than chunked");
    }

    private Optional<Problem> checkContentLength(String length) {
        if (!LENGTH.matcher(length).matches()) {
            return rejection(ErrorKind.MALFORMED_REQUEST, "invalid Content-Length field");
        }
        return Long.parseLong(length) <= mMaxBodyBytes
                ? Optional.empty()
                : Optional.of(bodyTooLarge());
    }

    /** Returns the problem of a body over the size limit. */
    Problem bodyTooLarge() {
        return Problem.of(
                ErrorKind.BODY_TOO_LARGE,
                "a request body may have at most " + mMaxBodyBytes + " bytes");
    }

    private static Optional<Problem> checkExpectation(HttpHeaders headers) {
        return headers.getAll(HttpHeaderNames.EXPECT).stream()
                        .allMatch(e -> e.equalsIgnoreCase("100-continue"))
                ? Optional.empty()
                : rejection(ErrorKind.MALFORMED_REQUEST, "unsupported Expect field");
    }

    private static Problem malformed(String detail) {
        return Problem.of(ErrorKind.MALFORMED_REQUEST, detail);
    }

    private static Optional<Problem> rejection(ErrorKind kind, String detail) {
        return Optional.of(Problem.of(kind, detail));
    }
}
