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
 * A refusal or failure as callers see it: problem JSON of RFC 9457 with the error kind and {@code
 * ran}.
 *
 * @param ran what is known about whether the request ran
 * @param detail what went wrong, for people
 * @param retryAfterMillis when to come back, in milliseconds, or 0 for no advice
 */
public record Problem(ErrorKind kind, Ran ran, String detail, long retryAfterMillis) {
    /** The media type of the body. */
    public static final String MEDIA_TYPE = "application/problem+json";

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Returns the problem with what its kind says about {@code ran}. */
    public static Problem of(ErrorKind kind, String detail) {
        return new Problem(kind, kind.ran(), detail, 0);
    }

    /** Returns the problem with the given {@code ran}. */
    public static Problem of(ErrorKind kind, Ran ran, String detail) {
        return new Problem(kind, ran, detail, 0);
    }

    /** Returns the problem that an exception stands for. */
    public static Problem from(ProxyException e) {
        return of(e.kind(), e.getMessage());
    }

    /** Returns the same problem with a time after which to come back. */
    public Problem withRetryAfterMillis(long millis) {
        return new Problem(kind, ran, detail, millis);
    }

    /** Answers a call with this problem. */
    public void answer(long call, Effects out) {
        answer(call, RetryAfter.WHOLE_SECONDS, out);
    }

    /** Answers a call with this problem, with the time to come back in the given format. */
    public void answer(long call, RetryAfter format, Effects out) {
        byte[] body = body();
        out.add(new Effect.HttpHead(call, kind.status(), headers(body.length, format)));
        out.add(new Effect.HttpChunk(call, body));
        out.add(new Effect.HttpEnd(call));
    }

    /** Returns the JSON body in UTF-8. */
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
            throw new IllegalStateException("can't write a problem of kind " + kind, e);
        }
    }

    /** Returns the header fields of an answer whose body has {@code length} bytes. */
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
