package org.coltsfootproxy.net;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Optional;
import org.coltsfootproxy.message.Header;
import org.coltsfootproxy.node.Problem;

/** Assembles the requests of one connection from their parts. Confined to its event loop. */
final class RequestReader {
    private static final byte[] NO_BODY = {};

    private RequestCheck mCheck;
    private int mMaxBodyBytes;
    private InboundRequest mHead;
    private boolean mExpectsContinue;
    private int mDeclaredBytes;
    private BodyBuffer mBody;

    /** Returns whether a head was accepted whose body has not ended yet. */
    boolean isInBody() {
        return mHead != null;
    }

    /** Starts a request; returns why its head is rejected, or empty if it is accepted. */
    Optional<Problem> begin(HttpRequest head, RequestLimits limits) {
        mMaxBodyBytes = limits.maxBodyBytes();
        mCheck = RequestCheck.of(mMaxBodyBytes);
        Optional<Problem> problem = mCheck.rejectionOf(head);
        if (problem.isEmpty()) {
            // Netty's fields are not kept while the body arrives.
            mHead = request(head);
            mExpectsContinue = HttpUtil.is100ContinueExpected(head);
            mDeclaredBytes = (int) HttpUtil.getContentLength(head, 0L);
            mBody = BodyBuffer.expecting(mDeclaredBytes);
        }
        return problem;
    }

    private static InboundRequest request(HttpRequest head) {
        List<Header> headers =
                HopByHop.endToEnd(head.headers()).stream()
                        .filter(
                                h ->
                                        !HttpHeaderNames.CONTENT_LENGTH.contentEqualsIgnoreCase(
                                                h.name()))
                        .toList();
        boolean isHttp11 = head.protocolVersion().equals(HttpVersion.HTTP_1_1);
        return new InboundRequest(
                head.method().name(),
                head.uri(),
                headers,
                NO_BODY,
                isHttp11 && HttpUtil.isKeepAlive(head),
                isHttp11,
                System.nanoTime());
    }

    /** Returns whether the caller waits for a 100 (Continue) response before it sends the body. */
    boolean expectsContinue() {
        return mHead != null && mExpectsContinue;
    }

    /** Returns the size that the body has according to its head; 0 if that does not tell it. */
    int declaredBytes() {
        return mDeclaredBytes;
    }

    /** Returns the memory that the body occupies; 0 without a body. */
    long bodyMemory() {
        return mHead == null ? 0 : mBody.capacityBytes();
    }

    /** Returns the size of the body after a part is added. */
    int sizeWith(HttpContent content) {
        return mBody.size() + content.content().readableBytes();
    }

    /** Adds a part of the body; returns why the request is rejected, or empty if it is accepted. */
    Optional<Problem> add(HttpContent content) {
        if (content.decoderResult().isFailure()) {
            return Optional.of(RequestCheck.undecodable(content.decoderResult().cause()));
        }
        if (sizeWith(content) > mMaxBodyBytes) {
            return Optional.of(mCheck.bodyTooLarge());
        }
        mBody.append(content.content());
        return Optional.empty();
    }

    /** Returns the complete request and resets the reader for the next one. */
    InboundRequest end() {
        InboundRequest request = mHead.withBody(mBody.take());
        discard();
        return request;
    }

    /** Discards the incomplete request, if there is one. */
    void discard() {
        mHead = null;
        mBody = null;
        mDeclaredBytes = 0;
    }
}
