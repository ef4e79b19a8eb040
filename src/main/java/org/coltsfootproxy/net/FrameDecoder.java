package org.coltsfootproxy.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.util.function.LongConsumer;

/** Splits received bytes into frames and reports the number of bytes received. */
final class FrameDecoder extends LengthFieldBasedFrameDecoder {
    private final LongConsumer mOnBytesReceived;

    FrameDecoder(int maxFrameBytes, LongConsumer onBytesReceived) {
        super(maxFrameBytes, 0, Frame.LENGTH_BYTES, 0, Frame.LENGTH_BYTES);
        mOnBytesReceived = onBytesReceived;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        if (message instanceof ByteBuf bytes) {
            mOnBytesReceived.accept(bytes.readableBytes());
        }
        super.channelRead(ctx, message);
    }
}
