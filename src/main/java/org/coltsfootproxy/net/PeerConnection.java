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
import org.coltsfootproxy.base.FatalErrors;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.Metric;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.message.Lane;
import org.coltsfootproxy.message.Message;
import org.coltsfootproxy.node.Input;

/**
 * One connection to a peer in one lane: performs the handshake, exchanges messages and sends pings.
 * Confined to the lane's event loop.
 */
final class PeerConnection extends SimpleChannelInboundHandler<ByteBuf> {
    /**
     * Timeout of the handshake. For the dialler it includes the time to connect. The acceptor
     * applies it to the wait for the hello, and again to the wait for the dialler's proof.
     */
    static final long HANDSHAKE_TIMEOUT_MILLIS = 2000;

    /** Name of the frame decoder in the pipeline. */
    static final String DECODER_NAME = "frames";

    /**
     * Limits of the channel's write buffer, in bytes: writing pauses above the upper one and
     * resumes below the lower one.
     */
    static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(64 << 10, 256 << 10);

    private final PeerContext mContext;
    private final FleetSecret.Side mSide;
    private final Lane mLane;
    private Handshake.Hello mOwnHello;
    private Handshake.Hello mPeerHello;
    private Channel mChannel;
    private InputForwarder mForwarder;
    private PingSchedule mPingSchedule;

    /** The handshake timeout; once the connection is ready, the next run of the ping schedule. */
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
        mPeerHello = peer;
        PeerSettings settings = context.settings();
        mOwnHello =
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

    /** Returns the peer's incarnation. Only after the connection has become ready. */
    Incarnation incarnation() {
        return mPeerHello.incarnation();
    }

    /** Returns whether this side opened the connection. */
    boolean isDialled() {
        return mSide == FleetSecret.Side.DIALLER;
    }

    /** Returns whether the handshake is complete and the connection is open. */
    boolean isReady() {
        return mReady && mChannel.isActive();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        mChannel = ctx.channel();
        mForwarder = InputForwarder.of(mChannel, mContext.sink());
        mTimer = runLater(this::handshakeTimedOut, HANDSHAKE_TIMEOUT_MILLIS * 1_000_000);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        sendHandshake(mOwnHello);
    }

    /** Answers the dialler's hello. */
    void sendHelloAndProof() {
        sendHandshake(mOwnHello);
        sendHandshake(new Handshake.Proof(proof(mSide)));
    }

    private void sendHandshake(Handshake handshake) {
        byte[] payload = mContext.handshakes().encode(handshake);
        mChannel.writeAndFlush(Frame.encode(Frame.Kind.HANDSHAKE, payload));
    }

    private byte[] proof(FleetSecret.Side side) {
        return isDialled()
                ? mContext.secret().proof(side, mOwnHello, mPeerHello)
                : mContext.secret().proof(side, mPeerHello, mOwnHello);
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
                mContext.reportMalformed(
                        peerName() + " sent a handshake after the end of the handshake");
                mChannel.close();
            }
        }
    }

    private void readHandshake(Frame frame) throws ProxyException {
        if (frame.kind() != Frame.Kind.HANDSHAKE) {
            mContext.reportMalformed(peerName() + " sent " + frame.kind() + " before its proof");
            mChannel.close();
            return;
        }
        Handshake handshake = mContext.handshakes().decode(frame.payload());
        if (handshake instanceof Handshake.Hello hello && isDialled() && mPeerHello == null) {
            readHello(hello);
        } else if (handshake instanceof Handshake.Proof proof && mPeerHello != null) {
            readProof(proof);
        } else {
            reject("sent the handshake in the wrong order");
        }
    }

    private void readHello(Handshake.Hello hello) {
        boolean matches =
                mOwnHello.to().equals(hello.host())
                        && mOwnHello.host().equals(hello.to())
                        && mLane == hello.lane()
                        && hello.incarnation() != null
                        && hello.nonce() != null;
        if (matches) {
            mPeerHello = hello;
        } else {
            reject(
                    "sent a hello of "
                            + hello.host()
                            + " that does not match the connection to "
                            + mOwnHello.to());
        }
    }

    private void readProof(Handshake.Proof proof) {
        FleetSecret.Side other = isDialled() ? FleetSecret.Side.ACCEPTOR : FleetSecret.Side.DIALLER;
        Handshake.Hello dialler = isDialled() ? mOwnHello : mPeerHello;
        Handshake.Hello acceptor = isDialled() ? mPeerHello : mOwnHello;
        if (!mContext.secret().isValidProof(proof.mac(), other, dialler, acceptor)) {
            reject("sent a proof that does not match the fleet's secret");
            return;
        }
        if (isDialled()) {
            sendHandshake(new Handshake.Proof(proof(mSide)));
        }
        becomeReady();
    }

    private void becomeReady() {
        mReady = true;
        mContext.unproven().remove(mChannel);
        mTimer.cancel(false);
        mPingSchedule = PingSchedule.start(mLane, System.nanoTime());
        schedulePing();
        mContext.events().log(EventCode.PEER_CONNECTED, peerName() + " " + mLane);
        mContext.links().link(mPeerHello.host(), mLane).onReady(this);
        // The old decoder delivers its buffered input when it is removed. It is replaced only now,
        // so that the peer is reported as up before its messages are.
        mChannel.pipeline()
                .replace(
                        DECODER_NAME,
                        DECODER_NAME,
                        new FrameDecoder(
                                mContext.settings().maxFrameBytes() + Frame.HEADER_BYTES,
                                mPingSchedule::onBytesTransferred));
    }

    private void reject(String detail) {
        mContext.reportRefused(peerName() + " " + detail);
        mChannel.close();
    }

    private void handshakeTimedOut() {
        if (!mReady && mChannel.isActive()) {
            reject("did not finish the handshake in time");
        }
    }

    private void readMessage(Frame frame) throws ProxyException {
        Message message = mContext.messages().decode(frame.payload());
        mPingSchedule.onMessageReceived(System.nanoTime());
        mForwarder.forward(new Input.FromPeer(mPeerHello.host(), message));
        reschedulePing();
    }

    private void readPing() {
        mChannel.writeAndFlush(Frame.encode(Frame.Kind.PONG));
        mPingSchedule.onPingReceived(System.nanoTime());
        reschedulePing();
    }

    private void readPong() {
        mPingSchedule.onPongReceived();
        reschedulePing();
    }

    /** Returns whether the channel's write buffer is below its limit. */
    boolean isWritable() {
        return mChannel.isWritable();
    }

    /**
     * Sends encoded messages in one write.
     *
     * @param bytes total size of the messages
     * @param onDone runs when the write has completed or failed
     */
    void write(List<byte[]> messages, int bytes, Runnable onDone) {
        ByteBuf frames =
                mChannel.alloc().directBuffer(bytes + messages.size() * Frame.HEADER_BYTES);
        messages.forEach(m -> Frame.write(Frame.Kind.MESSAGE, m, frames));
        mPingSchedule.onMessageSent(System.nanoTime());
        mChannel.writeAndFlush(frames)
                .addListener(
                        f -> {
                            mPingSchedule.onBytesTransferred(bytes);
                            onDone.run();
                        });
        reschedulePing();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (mReady && mChannel.isWritable()) {
            mContext.links().link(mPeerHello.host(), mLane).onWritable();
        }
    }

    private void reschedulePing() {
        if (mTimer.isDone() || mTimer.getDelay(TimeUnit.NANOSECONDS) > nanosUntilPing()) {
            mTimer.cancel(false);
            schedulePing();
        }
    }

    private void schedulePing() {
        mTimer = runLater(this::runPingSchedule, nanosUntilPing());
    }

    private long nanosUntilPing() {
        return Math.max(0, mPingSchedule.nextActionNanos() - System.nanoTime());
    }

    private void runPingSchedule() {
        if (!mChannel.isActive()) {
            return;
        }
        switch (mPingSchedule.tick(System.nanoTime())) {
            case PING -> mChannel.writeAndFlush(Frame.encode(Frame.Kind.PING));
            case CLOSE -> {
                mContext.events().log(EventCode.PEER_SILENT, peerName() + " " + mLane);
                mContext.events().count(Metric.PEERS_SILENT, "");
                mChannel.close();
                return;
            }
            default -> {
                // The next action is due later.
            }
        }
        schedulePing();
    }

    /** Closes the connection. */
    void close() {
        mChannel.close();
    }

    private ScheduledFuture<?> runLater(Runnable task, long nanos) {
        return mChannel.eventLoop().schedule(task, nanos, TimeUnit.NANOSECONDS);
    }

    private String peerName() {
        return mPeerHello == null
                ? mOwnHello.to().value()
                : mPeerHello.host() + "/" + mPeerHello.incarnation();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        mTimer.cancel(false);
        if (mReady) {
            mReady = false;
            mContext.links().link(mPeerHello.host(), mLane).onClosed(this);
        } else if (isDialled()) {
            mContext.links().link(mOwnHello.to(), mLane).onDialFailed();
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        FatalErrors.endIfFatal(cause);
        if (PeerAcceptor.isMalformed(cause)) {
            mContext.reportMalformed(peerName() + ": " + cause.getMessage());
        }
        ctx.close();
    }
}
