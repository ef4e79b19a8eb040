package org.coltsfootproxy.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Metric;
import org.coltsfootproxy.message.Lane;

/**
 * All connections to one peer in one lane, and the queue of messages to send over them.
 *
 * <p>Messages are queued while the peer is being dialled and while the socket's buffers are full.
 * Without a known address and during the backoff after a failed attempt they are dropped at once,
 * so that no message arrives much later than it was sent. Confined to the lane's event loop except
 * for {@link #send}, {@link #setAddress} and {@link #unsentBytes}.
 */
final class PeerLink {
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;
    private static final int MAX_WRITE_BYTES = 32 << 10;
    private static final int MAX_CONSECUTIVE_WRITES = 16;

    private final PeerContext mContext;
    private final HostId mHost;
    private final Lane mLane;
    private final EventLoop mLoop;
    private final Queue<byte[]> mQueue = new ConcurrentLinkedQueue<>();
    private final AtomicLong mUnsentBytes = new AtomicLong();
    private final AtomicBoolean mDrainScheduled = new AtomicBoolean();
    private final AtomicBoolean mOverflowing = new AtomicBoolean();
    private final Deque<PeerConnection> mConnections = new ArrayDeque<>();
    private final Backoff mBackoff = Backoff.of(new SplittableRandom());
    private volatile InetSocketAddress mAddress;
    private boolean mDialling;

    private PeerLink(PeerContext context, HostId host, Lane lane, EventLoop loop) {
        mContext = context;
        mHost = host;
        mLane = lane;
        mLoop = loop;
    }

    /** Returns a link without connections. */
    static PeerLink create(PeerContext context, HostId host, Lane lane, EventLoop loop) {
        return new PeerLink(context, host, lane, loop);
    }

    /** Sets the address on which the peer listens. Thread-safe. */
    void setAddress(InetSocketAddress address) {
        mAddress = address;
    }

    /** Queues an encoded message, or drops and counts it if the queue is full. Thread-safe. */
    void send(byte[] message) {
        if (mUnsentBytes.addAndGet(message.length) > mContext.settings().maxUnsentBytes()) {
            mUnsentBytes.addAndGet(-message.length);
            reportOverflow();
            return;
        }
        mQueue.add(message);
        scheduleDrain();
    }

    /** Returns the number of bytes of the messages that are not sent yet. Thread-safe. */
    long unsentBytes() {
        return mUnsentBytes.get();
    }

    private void reportOverflow() {
        mContext.events().count(Metric.PEER_MESSAGES_DROPPED, mLane.name());
        if (mOverflowing.compareAndSet(false, true)) {
            mContext.events().log(EventCode.PEER_OVERFLOW, mHost + " " + mLane);
        }
    }

    private void scheduleDrain() {
        if (mDrainScheduled.compareAndSet(false, true)) {
            mLoop.execute(this::drain);
        }
    }

    private void drain() {
        mDrainScheduled.set(false);
        Optional<PeerConnection> ready = readyConnection();
        if (ready.isPresent()) {
            writeAll(ready.get());
        } else if (!mDialling) {
            dialOrDrop();
        }
    }

    private Optional<PeerConnection> readyConnection() {
        return mConnections.stream().filter(PeerConnection::isReady).findFirst();
    }

    /**
     * Writes queued messages as long as the channel is writable. The others stay in the queue, so
     * that a ping is delayed only by what is already in the channel's and the socket's buffers.
     */
    private void writeAll(PeerConnection connection) {
        for (int i = 0; i < MAX_CONSECUTIVE_WRITES && connection.isWritable(); i++) {
            List<byte[]> messages = nextMessages();
            if (messages.isEmpty()) {
                return;
            }
            int bytes = messages.stream().mapToInt(m -> m.length).sum();
            connection.write(messages, bytes, () -> releaseUnsent(bytes));
        }
        if (connection.isWritable() && !mQueue.isEmpty()) {
            // Yields to the event loop's other connections and timers.
            scheduleDrain();
        }
    }

    private List<byte[]> nextMessages() {
        List<byte[]> messages = new ArrayList<>();
        int bytes = 0;
        byte[] message = mQueue.peek();
        while (message != null
                && (messages.isEmpty() || bytes + message.length <= MAX_WRITE_BYTES)) {
            messages.add(mQueue.remove());
            bytes += message.length;
            message = mQueue.peek();
        }
        return messages;
    }

    private void releaseUnsent(int bytes) {
        mUnsentBytes.addAndGet(-bytes);
        mOverflowing.set(false);
    }

    private void dialOrDrop() {
        InetSocketAddress address = mAddress;
        if (address == null || !mBackoff.isAttemptAllowed(System.nanoTime())) {
            dropAll();
        } else if (!mQueue.isEmpty()) {
            dial(address);
        }
    }

    private void dropAll() {
        byte[] message = mQueue.poll();
        while (message != null) {
            releaseUnsent(message.length);
            mContext.events().count(Metric.PEER_MESSAGES_DROPPED, mLane.name());
            message = mQueue.poll();
        }
    }

    private void dial(InetSocketAddress address) {
        mDialling = true;
        new Bootstrap()
                .group(mLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
                .option(ChannelOption.WRITE_BUFFER_WATER_MARK, PeerConnection.WATER_MARK)
                .handler(new Initializer())
                .connect(address)
                .addListener((ChannelFuture f) -> onDialled(f));
    }

    private void onDialled(ChannelFuture future) {
        if (!future.isSuccess()) {
            onDialFailed();
        }
    }

    private final class Initializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            channel.pipeline()
                    .addLast(
                            PeerConnection.DECODER_NAME,
                            new FrameDecoder(Frame.MAX_HANDSHAKE_BYTES, n -> {}))
                    .addLast(PeerConnection.dialled(mContext, mHost, mLane));
        }
    }

    /** Records that dialling or the handshake of a dialled connection failed. */
    void onDialFailed() {
        mDialling = false;
        mBackoff.recordFailure(System.nanoTime());
        dropAll();
        mContext.reachability().onUnreachable(mHost, mLane);
    }

    /** Adds a connection that has become ready; messages are sent over it from now on. */
    void onReady(PeerConnection connection) {
        if (connection.isDialled()) {
            mDialling = false;
            mBackoff.recordSuccess();
        }
        mConnections.addFirst(connection);
        mContext.reachability().onUp(mHost, connection.incarnation(), mLane);
        List.copyOf(mConnections).stream()
                .filter(c -> c != connection && isSuperseded(c, connection))
                .forEach(PeerConnection::close);
        drain();
    }

    /**
     * Returns whether a new connection makes an old one obsolete: if the peer has another
     * incarnation, or if the peer dialled both, because it dials again only after it has lost the
     * old one.
     */
    private static boolean isSuperseded(PeerConnection old, PeerConnection replacement) {
        return !old.incarnation().equals(replacement.incarnation())
                || (!old.isDialled() && !replacement.isDialled());
    }

    /** Resumes writing after a connection has become writable again. */
    void onWritable() {
        scheduleDrain();
    }

    /** Removes a connection that was ready and is closed now. */
    void onClosed(PeerConnection connection) {
        mConnections.remove(connection);
        mContext.events().log(EventCode.PEER_LOST, mHost + " " + mLane);
        mContext.reachability().onDown(mHost, mLane);
        scheduleDrain();
    }
}
