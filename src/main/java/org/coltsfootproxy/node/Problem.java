package org.coltsfootproxy.node;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.base.Ran;
import org.coltsfootproxy.message.Header;

/**
 * A refusal or failure that is reported to a caller as problem details (RFC 9457).
 *
 * <p>The JSON has the extension members {@code kind}, the error kind, and {@code ran}.
 *
 * @param ran whether the request has run, as far as is known
 * @param detail human-readable explanation
 * @param retryAfterMillis milliseconds to wait before a retry, or 0 to send no such header
 */
public record Problem(ErrorKind kind, Ran ran, String detail, long retryAfterMillis) {
    /** Media type of the body. */
    public static final String MEDIA_TYPE = "application/problem+json";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Returns a problem with the {@code ran} of its kind and no retry time. */
    public static Problem of(ErrorKind kind, String detail) {
        return new Problem(kind, kind.ran(), detail, 0);
    }

    /** Returns a problem with the given {@code ran} and no retry time. */
    public static Problem of(ErrorKind kind, Ran ran, String detail) {
        return new Problem(kind, ran, detail, 0);
    }

    /** Returns a problem with the kind and message of an exception. */
    public static Problem from(ProxyException e) {
        return of(e.kind(), e.getMessage());
    }

    /** Returns this problem with a time to wait before a retry, or 0 for none. */
    public Problem withRetryAfterMillis(long millis) {
        return new Problem(kind, ran, detail, millis);
    }

    /** Answers a call with this problem and a {@code Retry-After} header in whole seconds. */
    public void answer(long call, Effects out) {
        answer(call, RetryAfter.WHOLE_SECONDS, out);
    }

    /** Answers a call with this problem and a retry header in the given format. */
    public void answer(long call, RetryAfter format, Effects out) {
        byte[] body = body();
        out.add(new Effect.HttpHead(call, kind.status(), headers(body.length, format)));
        out.add(new Effect.HttpChunk(call, body));
        out.add(new Effect.HttpEnd(call));
    }

    /** Returns the JSON body, encoded as UTF-8. */
    public byte[] body() {
        ObjectNode json = MAPPER.createObjectNode();
        json.put("type", "urn:coltsfootproxy:" + kind.label());
        json.put("title", kind.title());
        json.put("status", kind.status());
        json.put("kind", kind.label());
        json.put("ran", ran.label());
        json.put("detail", detail);
        try {
            return MAPPER.writeValueAsBytes(json);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("can't write as JSON: problem of kind " + kind, e);
        }
    }

    /** Returns the headers of an answer whose body has {@code length} bytes. */
    public List<Header> headers(int length) {
        return headers(length, RetryAfter.WHOLE_SECONDS);
    }

    private List<Header> headers(int length, RetryAfter format) {
        List<Header> headers = new ArrayList<>();
        headers.add(Header.of("Content-Type", MEDIA_TYPE));
        headers.add(Header.of("Content-Length", Integer.toString(length)));
        if (retryAfterMillis > 0) {
            headers.add(format.header(retryAfterMillis));
        }
        return headers;
    }
}
