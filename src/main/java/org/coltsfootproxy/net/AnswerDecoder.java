package org.coltsfootproxy.net;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Netty's decoder of answers, which knows whether the request was for the head alone. */
final class AnswerDecoder extends HttpResponseDecoder {
    private boolean mHeadOnly;

    AnswerDecoder(HttpDecoderConfig config) {
        super(config);
    }

    /** Sets whether the next answer has no body whatever its fields say. */
    void expect(boolean headOnly) {
        mHeadOnly = headOnly;
    }

    /** Tells whether bytes have arrived that belong to no whole message yet. */
    boolean hasUnreadBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return mHeadOnly || super.isContentAlwaysEmpty(message);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        // Both fields stay, so that the answer is refused for having both.
    }
}
