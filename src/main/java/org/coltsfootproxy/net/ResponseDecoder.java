package org.coltsfootproxy.net;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/** Decodes HTTP responses, taking into account whether the request's method was HEAD. */
final class ResponseDecoder extends HttpResponseDecoder {
    private boolean mHeadOnly;

    ResponseDecoder(HttpDecoderConfig config) {
        super(config);
    }

    /** Sets whether the next response has no body, whatever its header fields say. */
    void expectResponse(boolean headOnly) {
        mHeadOnly = headOnly;
    }

    /** Returns whether received bytes remain that don't yet form a complete message. */
    boolean hasUnreadBytes() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return mHeadOnly || super.isContentAlwaysEmpty(message);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        // Keeps both fields, so that ResponseCheck rejects the response.
    }
}
