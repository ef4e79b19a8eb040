package org.coltsfootproxy.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.regex.Pattern;

/**
 * Decodes HTTP responses, taking into account whether the request's method was HEAD.
 *
 * <p>A response whose head is not valid gets a failed decoder result. Netty's decoder by itself
 * accepts, among others, any integer as status, empty and folded lines, and blanks in names.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    /** Status lines; the space after the status is optional, as servers omit it. */
    private static final Pattern STATUS_LINE =
            Pattern.compile("HTTP/1\\.[01] [1-5][0-9]{2}( [\\t\\x20-\\x7e\\x80-\\xff]*)?");

    private final StrictFraming mFraming;
    private final int mMaxHeaderBytes;
    private boolean mHeadOnly;

    ResponseDecoder(int maxHeaderBytes) {
        super(StrictFraming.nettyConfig());
        mMaxHeaderBytes = maxHeaderBytes;
        mFraming = new StrictFraming(ResponseDecoder::checkStatusLine, new NettyDecoder());
    }

    private static void checkStatusLine(ByteBuf in, int start, int end)
            throws InvalidMessageException {
        String line = in.toString(start, end - start, StandardCharsets.ISO_8859_1);
        if (!STATUS_LINE.matcher(line).matches()) {
            throw new InvalidMessageException("the status line is not valid");
        }
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
    protected void decode(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
            throws Exception {
        mFraming.decode(ctx, in, out);
    }

    private final class NettyDecoder implements StrictFraming.Decoder {
        @Override
        public void decodeByNetty(ChannelHandlerContext ctx, ByteBuf in, List<Object> out)
                throws Exception {
            ResponseDecoder.super.decode(ctx, in, out);
        }

        @Override
        public void reset() {
            ResponseDecoder.this.reset();
        }

        @Override
        public HttpMessage invalidMessage() {
            return createInvalidMessage();
        }

        @Override
        public int maxHeaderBytes() {
            return mMaxHeaderBytes;
        }

        @Override
        public int maxFields() {
            return mMaxHeaderBytes;
        }

        @Override
        public long maxExtensionBytes() {
            // The connection limits the bytes that are no content.
            return Long.MAX_VALUE;
        }

        @Override
        public boolean onHead(HeadScanner head) {
            return true;
        }
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
