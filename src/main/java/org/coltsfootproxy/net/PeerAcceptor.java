package org.coltsfootproxy.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import java.io.IOException;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.FatalErrors;
import org.coltsfootproxy.base.ProxyException;

/**
 * Waits for the hello of a peer that has dialled, then moves the connection to the event loop of
 * the lane that the hello names.
 */
final class PeerAcceptor extends SimpleChannelInboundHandler<ByteBuf> {
    private final PeerContext mContext;
    private boolean mMovingToLane;

    PeerAcceptor(PeerContext context) {
        mContext = context;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        ctx.executor()
                .schedule(
                        () -> onTimeout(ctx),
                        PeerConnection.HANDSHAKE_TIMEOUT_MILLIS,
                        TimeUnit.MILLISECONDS);
    }

    private void onTimeout(ChannelHandlerContext ctx) {
        if (!mMovingToLane && ctx.channel().isActive()) {
            mContext.reportRefused(ctx.channel().remoteAddress() + " sent no hello in time");
            ctx.close();
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf body) throws ProxyException {
        Frame frame = Frame.decode(body);
        boolean hello =
                frame.kind() == Frame.Kind.HANDSHAKE
                        && mContext.handshakes().decode(frame.payload()) instanceof Handshake.Hello;
        if (mMovingToLane || !hello) {
            mContext.reportMalformed(
                    ctx.channel().remoteAddress() + " did not start with exactly one hello");
            ctx.close();
            return;
        }
        moveToLaneLoop(ctx, (Handshake.Hello) mContext.handshakes().decode(frame.payload()));
    }

    private void moveToLaneLoop(ChannelHandlerContext ctx, Handshake.Hello hello) {
        String rejectionReason = rejectionReason(hello);
        if (!rejectionReason.isEmpty()) {
            mContext.reportRefused(ctx.channel().remoteAddress() + " " + rejectionReason);
            ctx.close();
            return;
        }
        mMovingToLane = true;
        Channel channel = ctx.channel();
        channel.config().setAutoRead(false);
        channel.deregister()
                .addListener(
                        f ->
                                mContext.links()
                                        .loop(hello.lane())
                                        .register(channel)
                                        .addListener(g -> onMoved(channel, hello, g.isSuccess())));
    }

    private String rejectionReason(Handshake.Hello hello) {
        if (hello.host() == null || hello.to() == null || hello.incarnation() == null) {
            return "sent a hello without host, incarnation or addressed host";
        }
        if (hello.lane() == null
                || hello.nonce() == null
                || hello.nonce().length != FleetSecret.NONCE_BYTES) {
            return "sent a hello without lane or without a valid nonce";
        }
        boolean isForThisHost = hello.to().equals(mContext.settings().host());
        return isForThisHost ? "" : "sent a hello addressed to host " + hello.to();
    }

    private void onMoved(Channel channel, Handshake.Hello hello, boolean registered) {
        if (!registered) {
            channel.close();
            return;
        }
        PeerConnection connection = PeerConnection.accepted(mContext, hello);
        channel.pipeline().replace(this, "peer", connection);
        connection.sendHelloAndProof();
        channel.config().setAutoRead(true);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        FatalErrors.endIfFatal(cause);
        if (isMalformed(cause)) {
            mContext.reportMalformed(ctx.channel().remoteAddress() + ": " + cause.getMessage());
        }
        ctx.close();
    }

    /** Returns whether a failure was caused by malformed input rather than by the connection. */
    static boolean isMalformed(Throwable cause) {
        return !(cause instanceof IOException) || cause instanceof TooLongFrameException;
    }
}
