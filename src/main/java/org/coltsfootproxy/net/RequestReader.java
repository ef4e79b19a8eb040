package org.coltsfootproxy.net;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import org.coltsfootproxy.message.Header;
import org.coltsfootproxy.node.Problem;

/** Puts the pieces of one connection's requests together. Confined to its event loop. */
final class RequestReader {
    private final RequestCheck mCheck;
    private final int mMaxBodyBytes;
    private HttpRequest mHead;
    private ByteArrayOutputStream mBody;

    private RequestReader(HttpFrontSettings settings) {
        mCheck = RequestCheck.of(settings.maxHeaders(), settings.maxBodyBytes());
        mMaxBodyBytes = settings.maxBodyBytes();
    }

    /** Returns a reader before its first request. */
    static RequestReader of(HttpFrontSettings settings) {
        return new RequestReader(settings);
    }

    /** Tells whether a head has arrived whose body has not ended yet. */
    boolean isInBody() {
        return mHead != null;
    }

    /** Takes the head of a request and returns why it is refused, or empty if it isn't. */
    Optional<Problem> begin(HttpRequest head) {
        Optional<Problem> problem = mCheck.refuse(head);
        if (problem.isEmpty()) {
            mHead = head;
            mBody = new ByteArrayOutputStream();
        }
        return problem;
    }

    /** Tells whether the caller waits for leave to send the body. */
    boolean expectsContinue() {
        return mHead != null && HttpUtil.is100ContinueExpected(mHead);
    }

    /** Takes a piece of the body and returns why it is refused, or empty if it isn't. */
    Optional<Problem> add(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            return Optional.of(RequestCheck.undecodable(content.decoderResult().cause()));
        }
        if (mBody.size() + content.content().readableBytes() > mMaxBodyBytes) {
            return Optional.of(mCheck.bodyTooLarge());
        }
        try {
            content.content().readBytes(mBody, content.content().readableBytes());
        } catch (IOException e) {
            throw new IllegalStateException("can't write to memory", e);
        }
        return Optional.empty();
    }

    /** Returns the request that has ended and makes ready for the next one. */
    ArrivedRequest end(LastHttpContent ignoredTrailer) {
        List<Header> headers =
                HopByHop.endToEnd(mHead.headers()).stream()
                        .filter(
                                h ->
                                        !HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(
                                                h.name()))
                        .toList();
        boolean current = mHead.protocolVersion().equals(HttpVersion.HTTP_1_1);
        ArrivedRequest request =
                new ArrivedRequest(
                        mHead.method().name(),
                        mHead.uri(),
                        headers,
                        mBody.toByteArray(),
                        current && HttpUtil.isKeepAlive(mHead),
                        current);
        mHead = null;
        mBody = null;
        return request;
    }
}
