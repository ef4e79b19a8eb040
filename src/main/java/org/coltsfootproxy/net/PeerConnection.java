package org.coltsfootproxy.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.Metric;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.message.Lane;
import org.coltsfootproxy.message.Message;
import org.coltsfootproxy.node.Input;

/**
 * One connection to a peer in one lane: handshake, messages, pings. Confined to the lane's event
 * loop.
 */
final class PeerConnection extends SimpleChannelInboundHandler<ByteBuf> {
    /** Longest time from the connection to the end of the handshake. */
    static final long HANDSHAKE_TIMEOUT_MILLIS = 2000;

    /** Name of the frame decoder in the pipeline. */
    static final String DECODER = "frames";

    /** Bytes in the channel above which nothing more is written, and below which it goes on. */
    static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(64 << 10, 256 << 10);

    private final PeerContext mContext;
    private final FleetSecret.Side mSide;
    private final Lane mLane;
    private Handshake.Hello mOwn;
    private Handshake.Hello mPeer;
    private Channel mChannel;
    private Intake mIntake;
    private PingSchedule mPings;
    private ScheduledFuture<?> mTimer;
    private boolean mReady;

    private PeerConnection(
            PeerContext context,
            FleetSecret.Side side,
            Lane lane,
            HostId to,
            Handshake.Hello peer) {
        mContext = context;
        mSide = side;
        mLane = lane;
        mPeer = peer;
        PeerSettings settings = context.settings();
        mOwn =
                new Handshake.Hello(
                        settings.host(), settings.incarnation(), to, lane, FleetSecret.nonce());
    }

    /** Returns a connection that this side opens. */
    static PeerConnection dialled(PeerContext context, HostId to, Lane lane) {
        return new PeerConnection(context, FleetSecret.Side.DIALLER, lane, to, null);
    }

    /** Returns a connection that the peer has opened with {@code hello}. */
    static PeerConnection accepted(PeerContext context, Handshake.Hello hello) {
        return new PeerConnection(
                context, FleetSecret.Side.ACCEPTOR, hello.lane(), hello.host(), hello);
    }

    /** Returns the peer's life; known once the connection is ready. */
    Incarnation incarnation() {
        return mPeer.incarnation();
    }

    /** Tells whether this side opened the connection. */
    boolean isDialled() {
        return mSide == FleetSecret.Side.DIALLER;
    }

    /** Tells whether messages can be sent. */
    boolean isReady() {
        return mReady && mChannel.isActive();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        mChannel = ctx.channel();
        mIntake = Intake.of(mChannel, mContext.sink());
        mTimer = later(this::handshakeTimedOut, HANDSHAKE_TIMEOUT_MILLIS * 1_000_000);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        handshake(mOwn);
    }

    /** Answers the peer's first words. */
    void answer() {
        handshake(mOwn);
        handshake(new Handshake.Proof(proof(mSide)));
    }

    private void handshake(Handshake words) {
        byte[] payload = mContext.handshakes().encode(words);
        mChannel.writeAndFlush(Frame.encode(Frame.Kind.HANDSHAKE, payload));
    }

    private byte[] proof(FleetSecret.Side side) {
        return isDialled()
                ? mContext.secret().proof(side, mOwn, mPeer)
                : mContext.secret().proof(side, mPeer, mOwn);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, ByteBuf body) throws ProxyException {
        Frame frame = Frame.decode(body);
        if (!mChannel.isActive()) {
            return;
        }
        if (!mReady) {
            readHandshake(frame);
            return;
        }
        switch (frame.kind()) {
            case MESSAGE -> readMessage(frame);
            case PING -> readPing();
            case PONG -> readPong();
            default -> {
                mContext.malformed(name() + " sent a second handshake");
                mChannel.close();
            }
        }
    }

    private void readHandshake(Frame frame) throws ProxyException {
        if (frame.kind() != Frame.Kind.HANDSHAKE) {
            mContext.malformed(name() + " sent " + frame.kind() + " before its proof");
            mChannel.close();
            return;
        }
        Handshake words = mContext.handshakes().decode(frame.payload());
        if (words instanceof Handshake.Hello hello && isDialled() && mPeer == null) {
            readHello(hello);
        } else if (words instanceof Handshake.Proof proof && mPeer != null) {
            readProof(proof);
        } else {
            refuse("broke the order of the handshake");
        }
    }

    private void readHello(Handshake.Hello hello) {
        boolean meant =
                mOwn.to().equals(hello.host())
                        && mOwn.host().equals(hello.to())
                        && mLane == hello.lane()
                        && hello.incarnation() != null
                        && hello.nonce() != null;
        if (meant) {
            mPeer = hello;
        } else {
            refuse("is " + hello.host() + ", not " + mOwn.to());
        }
    }

    private void readProof(Handshake.Proof proof) {
        FleetSecret.Side other = isDialled() ? FleetSecret.Side.ACCEPTOR : FleetSecret.Side.DIALLER;
        Handshake.Hello dialler = isDialled() ? mOwn : mPeer;
        Handshake.Hello acceptor = isDialled() ? mPeer : mOwn;
        if (!mContext.secret().isProof(proof.mac(), other, dialler, acceptor)) {
            refuse("doesn't know the fleet's secret");
            return;
        }
        if (isDialled()) {
            handshake(new Handshake.Proof(proof(mSide)));
        }
        becomeReady();
    }

    private void becomeReady() {
        mReady = true;
        mTimer.cancel(false);
        mPings = PingSchedule.start(mLane, System.nanoTime());
        armPing();
        mContext.events().log(EventCode.PEER_CONNECTED, name() + " " + mLane);
        mContext.links().link(mPeer.host(), mLane).ready(this);
        // Hands on what has already arrived, so it comes after the peer was reported as up.
        mChannel.pipeline()
                .replace(
                        DECODER,
                        DECODER,
                        new FrameDecoder(
                                mContext.settings().maxFrameBytes() + Frame.HEADER_BYTES,
                                mPings::bytesMoved));
    }

    private void refuse(String detail) {
        mContext.refused(name() + " " + detail);
        mChannel.close();
    }

    private void handshakeTimedOut() {
        if (!mReady && mChannel.isActive()) {
            refuse("didn't finish the handshake in time");
        }
    }

    private void readMessage(Frame frame) throws ProxyException {
        Message message = mContext.messages().decode(frame.payload());
        mPings.messageReceived(System.nanoTime());
        mIntake.offer(new Input.FromPeer(mPeer.host(), message));
        rearmPing();
    }

    private void readPing() {
        mChannel.writeAndFlush(Frame.encode(Frame.Kind.PONG));
        mPings.pingReceived(System.nanoTime());
        rearmPing();
    }

    private void readPong() {
        mPings.pongReceived();
        rearmPing();
    }

    /** Tells whether the socket takes more. */
    boolean isWritable() {
        return mChannel.isWritable();
    }

    /**
     * Sends encoded messages in one piece; {@code onDone} runs when they have left or are lost.
     *
     * @param bytes their length together
     */
    void write(List<byte[]> messages, int bytes, Runnable onDone) {
        ByteBuf frames =
                mChannel.alloc().directBuffer(bytes + messages.size() * Frame.HEADER_BYTES);
        messages.forEach(m -> Frame.write(Frame.Kind.MESSAGE, m, frames));
        mPings.messageSent(System.nanoTime());
        mChannel.writeAndFlush(frames)
                .addListener(
                        f -> {
                            mPings.bytesMoved(bytes);
                            onDone.run();
                        });
        rearmPing();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (mReady && mChannel.isWritable()) {
            mContext.links().link(mPeer.host(), mLane).writable();
        }
    }

    private void rearmPing() {
        if (mTimer.isDone() || mTimer.getDelay(TimeUnit.NANOSECONDS) > untilPing()) {
            mTimer.cancel(false);
            armPing();
        }
    }

    private void armPing() {
        mTimer = later(this::ping, untilPing());
    }

    private long untilPing() {
        return Math.max(0, mPings.nextNanos() - System.nanoTime());
    }

    private void ping() {
        if (!mChannel.isActive()) {
            return;
        }
        switch (mPings.tick(System.nanoTime())) {
            case PING -> mChannel.writeAndFlush(Frame.encode(Frame.Kind.PING));
            case CLOSE -> {
                mContext.events().log(EventCode.PEER_SILENT, name() + " " + mLane);
                mContext.events().count(Metric.PEERS_SILENT, "");
                mChannel.close();
                return;
            }
            default -> {
                // The time of the next action has moved.
            }
        }
        armPing();
    }

    /** Closes the connection. */
    void close() {
        mChannel.close();
    }

    private ScheduledFuture<?> later(Runnable task, long nanos) {
        return mChannel.eventLoop().schedule(task, nanos, TimeUnit.NANOSECONDS);
    }

    private String name() {
        return mPeer == null ? mOwn.to().value() : mPeer.host() + "/" + mPeer.incarnation();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        mTimer.cancel(false);
        if (mReady) {
            mReady = false;
            mContext.links().link(mPeer.host(), mLane).closed(this);
        } else if (isDialled()) {
            mContext.links().link(mOwn.to(), mLane).dialFailed();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (PeerAcceptor.isMalformed(cause)) {
            mContext.malformed(name() + ": " + cause.getMessage());
        }
        ctx.close();
    }
}
