package org.coltsfootproxy.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.FullHttpRequest;

/**
 * Writes one request to a target, a long body part by part.
 *
 * <p>Netty copies what is written to memory outside of the heap until the socket takes it, so that
 * only one part of a body is copied at a time.
 */
final class RequestWriter {
    private static final int PART_BYTES = 64 << 10;

    private final Channel mChannel;
    private final ByteBuf mBody;
    private final ChannelPromise mWritten;

    private RequestWriter(Channel channel, ByteBuf body) {
        mChannel = channel;
        mBody = body;
        mWritten = channel.newPromise();
    }

    /** Writes a request; the result completes when all of it is written or a write has failed. */
    static ChannelFuture write(Channel channel, FullHttpRequest request) {
        if (request.content().readableBytes() <= PART_BYTES) {
            return channel.writeAndFlush(request);
        }
        channel.write(
                new DefaultHttpRequest(
                        request.protocolVersion(),
                        request.method(),
                        request.uri(),
                        request.headers()));
        RequestWriter writer = new RequestWriter(channel, request.content());
        writer.writeNext();
        return writer.mWritten;
    }

    private void writeNext() {
        if (mBody.readableBytes() <= PART_BYTES) {
            mChannel.writeAndFlush(new DefaultLastHttpContent(mBody), mWritten);
            return;
        }
        mChannel.writeAndFlush(new DefaultHttpContent(mBody.readRetainedSlice(PART_BYTES)))
                .addListener((ChannelFuture part) -> onWritten(part));
    }

    private void onWritten(ChannelFuture part) {
        if (part.isSuccess()) {
            writeNext();
        } else {
            mBody.release();
            mWritten.setFailure(part.cause());
        }
    }
}
