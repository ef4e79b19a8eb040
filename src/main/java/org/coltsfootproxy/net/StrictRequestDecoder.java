package org.coltsfootproxy.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.DecoderResult;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.List;

/**
 * Netty's request decoder, which additionally rejects folded header lines.
 *
 * <p>Netty joins a line that begins with a space or tab to the previous one (obsolete line folding,
 * RFC 9112 section 5.2), which other parsers may not do. Folding isn't visible in the decoded
 * request, so the bytes of each head are scanned before they are decoded, and a request with a
 * folded line gets a failed decoder result.
 */
final class StrictRequestDecoder extends HttpRequestDecoder {
    private final Runnable mOnBytes;
    private boolean mInHead = true;
    private boolean mAtLineStart;
    private boolean mFolded;

    StrictRequestDecoder(HttpDecoderConfig config, Runnable onBytes) {
        super(config);
        mOnBytes = onBytes;
    }

    /** Thrown for a header field that is folded over several lines. */
    static final class FoldedLineException extends Exception {
        private static final long serialVersionUID = 1L;

        FoldedLineException() {
            super("a header field is folded over several lines");
        }
    }

    @Override
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
            throws Exception {
        mOnBytes.run();
        int start = in.readerIndex();
        int before = out.size();
        if (mInHead) {
            scanHead(in);
        }
        super.decode(ctx, in, out);
        if (in.readerIndex() > start) {
            mAtLineStart = mInHead && in.getByte(in.readerIndex() - 1) == '\n';
        }
        out.subList(before, out.size()).forEach(this::updateState);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        // Keeps both fields, so that RequestCheck rejects the request.
    }

    private void scanHead(ByteBuf in) {
        boolean lineStart = mAtLineStart;
        for (int i = in.readerIndex(); i < in.writerIndex(); i++) {
            byte b = in.getByte(i);
            if (lineStart && (b == ' ' || b == '\t')) {
                mFolded = true;
            }
            if (lineStart && (b == '\r' || b == '\n')) {
                return;
            }
            lineStart = b == '\n';
        }
    }

    private void updateState(Object decoded) {
        if (decoded instanceof HttpRequest request) {
            mInHead = false;
            if (mFolded && request.decoderResult().isSuccess()) {
                request.setDecoderResult(DecoderResult.failure(new FoldedLineException()));
            }
        }
        if (decoded instanceof LastHttpContent) {
            mInHead = true;
            mAtLineStart = false;
            mFolded = false;
        }
    }
}
