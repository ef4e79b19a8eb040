package org.coltsfootproxy.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import java.util.function.LongConsumer;

/** Cuts bytes into frames and tells how many bytes came. */
final class FrameDecoder extends LengthFieldBasedFrameDecoder {
    private final LongConsumer mOnBytes;

    FrameDecoder(int maxFrameBytes, LongConsumer onBytes) {
        super(maxFrameBytes, 0, Frame.LENGTH_BYTES, 0, Frame.LENGTH_BYTES);
        mOnBytes = onBytes;
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) throws Exception {
        if (message instanceof ByteBuf bytes) {
            mOnBytes.accept(bytes.readableBytes());
        }
        super.channelRead(ctx, message);
    }
}
