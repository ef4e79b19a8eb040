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

/** Assembles the requests of one connection from their parts. Confined to its event loop. */
final class RequestReader {
    private final RequestCheck mCheck;
    private final int mMaxBodyBytes;
    private HttpRequest mHead;
    private long mHeadNanos;
    private ByteArrayOutputStream mBody;

    private RequestReader(HttpFrontSettings settings) {
        mCheck = RequestCheck.of(settings.maxHeaders(), settings.maxBodyBytes());
        mMaxBodyBytes = settings.maxBodyBytes();
    }

    /** Returns a reader that waits for the head of its first request. */
    static RequestReader of(HttpFrontSettings settings) {
        return new RequestReader(settings);
    }

    /** Returns whether a head was accepted whose body has not ended yet. */
    boolean isInBody() {
        return mHead != null;
    }

    /** Starts a request; returns why its head is rejected, or empty if it is accepted. */
    Optional<Problem> begin(HttpRequest head) {
        Optional<Problem> problem = mCheck.rejectionOf(head);
        if (problem.isEmpty()) {
            mHead = head;
            mHeadNanos = System.nanoTime();
            mBody = new ByteArrayOutputStream();
        }
        return problem;
    }

    /** Returns whether the caller waits for a 100 (Continue) response before it sends the body. */
    boolean expectsContinue() {
        return mHead != null && HttpUtil.is100ContinueExpected(mHead);
    }

    /** Adds a part of the body; returns why the request is rejected, or empty if it is accepted. */
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

    /** Returns the complete request and resets the reader for the next one. */
    InboundRequest end(LastHttpContent ignoredTrailer) {
        List<Header> headers =
                HopByHop.endToEnd(mHead.headers()).stream()
                        .filter(
                                h ->
                                        !HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(
                                                h.name()))
                        .toList();
        boolean isHttp11 = mHead.protocolVersion().equals(HttpVersion.HTTP_1_1);
        InboundRequest request =
                new InboundRequest(
                        mHead.method().name(),
                        mHead.uri(),
                        headers,
                        mBody.toByteArray(),
                        isHttp11 && HttpUtil.isKeepAlive(mHead),
                        isHttp11,
                        mHeadNanos);
        mHead = null;
        mBody = null;
        return request;
    }
}
