package org.coltsfootproxy.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.ProxyException;

/**
 * Waits for the first words of a peer that has dialled, then moves the connection to the event loop
 * of the lane that the peer names.
 */
final class PeerAcceptor extends SimpleChannelInboundHandler<ByteBuf> {
    private final PeerContext mContext;
    private boolean mMoving;

    PeerAcceptor(PeerContext context) {
        mContext = context;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        ctx.executor()
                .schedule(
                        () -> timeOut(ctx),
                        PeerConnection.HANDSHAKE_TIMEOUT_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void timeOut(ChannelHandlerContext ctx) {
        if (!mMoving && ctx.channel().isActive()) {
            mContext.refused(ctx.channel().remoteAddress() + " said nothing in time");
            ctx.close();
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf body) throws ProxyException {
        Frame frame = Frame.decode(body);
        boolean hello =
                frame.kind() == Frame.Kind.HANDSHAKE
                        && mContext.handshakes().decode(frame.payload()) instanceof Handshake.Hello;
        if (mMoving || !hello) {
            mContext.malformed(ctx.channel().remoteAddress() + " didn't begin with its name");
            ctx.close();
            return;
        }
        move(ctx, (Handshake.Hello) mContext.handshakes().decode(frame.payload()));
    }

    private void move(ChannelHandlerContext ctx, Handshake.Hello hello) {
        String fault = fault(hello);
        if (!fault.isEmpty()) {
            mContext.refused(ctx.channel().remoteAddress() + " " + fault);
            ctx.close();
            return;
        }
        mMoving = true;
        Channel channel = ctx.channel();
        channel.config().setAutoRead(false);
        channel.deregister()
                .addListener(
                        f ->
                                mContext.links()
                                        .loop(hello.lane())
                                        .register(channel)
                                        .addListener(g -> accept(channel, hello, g.isSuccess())));
    }

    private String fault(Handshake.Hello hello) {
        if (hello.host() == null || hello.to() == null || hello.incarnation() == null) {
            return "left out its name";
        }
        if (hello.lane() == null
                || hello.nonce() == null
                || hello.nonce().length != FleetSecret.NONCE_BYTES) {
            return "left out lane or nonce";
        }
        boolean meant = hello.to().equals(mContext.settings().host());
        return meant ? "" : "means host " + hello.to();
    }

    private void accept(Channel channel, Handshake.Hello hello, boolean registered) {
        if (!registered) {
            channel.close();
            return;
        }
        PeerConnection connection = PeerConnection.accepted(mContext, hello);
        channel.pipeline().replace(this, "peer", connection);
        connection.answer();
        channel.config().setAutoRead(true);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (isMalformed(cause)) {
            mContext.malformed(ctx.channel().remoteAddress() + ": " + cause.getMessage());
        }
        ctx.close();
    }

    /** Tells whether a failure comes from what the other side sent, not from the connection. */
    static boolean isMalformed(Throwable cause) {
        return !(cause instanceof IOException) || cause instanceof TooLongFrameException;
    }
}
