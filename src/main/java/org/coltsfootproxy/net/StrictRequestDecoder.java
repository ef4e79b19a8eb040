package org.coltsfootproxy.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.util.List;

/**
 * Netty's request decoder behind {@link StrictFraming}.
 *
 * <p>Netty joins folded header lines (obsolete line folding, RFC 9112 section 5.2), which other
 * parsers may not do; here such a request gets a failed decoder result.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    private final Listener mListener;
    private final StrictFraming mFraming;

    /** Learns what arrives before it is decoded. */
    interface Listener {
        /** Called when bytes arrive. */
        void onBytes();

        /** Called while a head is incomplete, with the size of the buffer that holds it. */
        void onIncompleteHead(int bufferBytes);

        /** Called before a complete head is parsed; returns false if it is refused instead. */
        boolean onHead(HeadScanner head);

        /** Returns the limits for requests. */
        RequestLimits limits();
    }

    StrictRequestDecoder(Listener listener) {
        super(StrictFraming.nettyConfig());
        mListener = listener;
        mFraming = new StrictFraming((in, start, end) -> {}, new NettyDecoder());
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
            throws Exception {
        if (mFraming.isBeforeHead()) {
            skipEmptyLines(in);
        }
        if (in.isReadable()) {
            mListener.onBytes();
            mFraming.decode(ctx, in, out);
        }
        if (mFraming.isInHead()) {
            mListener.onIncompleteHead(in.capacity());
        }
    }

    /** Skips empty lines before a request, as RFC 9112 section 2.2 asks for. */
    private static void skipEmptyLines(ByteBuf in) {
        while (in.isReadable()) {
            byte b = in.getByte(in.readerIndex());
            if (b != '\r' && b != '\n') {
                return;
            }
            in.skipBytes(1);
        }
    }

    /** Discards all further input. */
    void discardAll() {
        mFraming.discardAll();
    }

    private final class NettyDecoder implements StrictFraming.Decoder {
        @Override
        public void decodeByNetty(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
                throws Exception {
            StrictRequestDecoder.super.decode(ctx, in, out);
        }

        @Override
        public void reset() {
            StrictRequestDecoder.this.reset();
        }

        @Override
        public HttpMessage invalidMessage() {
            return createInvalidMessage();
        }

        @Override
        public int maxHeaderBytes() {
            return mListener.limits().maxHeaderBytes();
        }

        @Override
        public int maxFields() {
            return mListener.limits().maxFields();
        }

        @Override
        public long maxExtensionBytes() {
            return mListener.limits().maxBodyBytes();
        }

        @Override
        public boolean onHead(HeadScanner head) {
            return mListener.onHead(head);
        }
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        // Keeps both fields, so that RequestCheck rejects the request.
    }
}
