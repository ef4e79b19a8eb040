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
 * All connections to one peer in one lane and the messages that wait for them.
 *
 * <p>Messages wait only while the peer is being dialled; while it can't be reached they are dropped
 * at once, so that none arrives much later than it was sent. Confined to the lane's event loop but
 * for {@link #send} and {@link #address}.
 */
final class PeerLink {
    private static final int CONNECT_TIMEOUT_MILLIS = 1000;
    private static final int BATCH_BYTES = 32 << 10;
    private static final int BATCHES_IN_A_ROW = 16;

    private final PeerContext mContext;
    private final HostId mHost;
    private final Lane mLane;
    private final EventLoop mLoop;
    private final Queue<byte[]> mQueue = new ConcurrentLinkedQueue<>();
    private final AtomicLong mUnsentBytes = new AtomicLong();
    private final AtomicBoolean mWoken = new AtomicBoolean();
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

    /** Sets where the peer listens. Any thread. */
    void address(InetSocketAddress address) {
        mAddress = address;
    }

    /** Sends an encoded message, or drops and counts it if too much waits. Any thread. */
    void send(byte[] message) {
        if (mUnsentBytes.addAndGet(message.length) > mContext.settings().maxUnsentBytes()) {
            mUnsentBytes.addAndGet(-message.length);
            overflow();
            return;
        }
        mQueue.add(message);
        wake();
    }

    /** Returns the bytes that have not been handed to a socket. Any thread. */
    long unsentBytes() {
        return mUnsentBytes.get();
    }

    private void overflow() {
        mContext.events().count(Metric.PEER_MESSAGES_DROPPED, mLane.name());
        if (mOverflowing.compareAndSet(false, true)) {
            mContext.events().log(EventCode.PEER_OVERFLOW, mHost + " " + mLane);
        }
    }

    private void wake() {
        if (mWoken.compareAndSet(false, true)) {
            mLoop.execute(this::drain);
        }
    }

    private void drain() {
        mWoken.set(false);
        Optional<PeerConnection> ready = connection();
        if (ready.isPresent()) {
            writeAll(ready.get());
        } else if (!mDialling) {
            dialOrDrop();
        }
    }

    private Optional<PeerConnection> connection() {
        return mConnections.stream().filter(PeerConnection::isReady).findFirst();
    }

    /**
     * Writes what waits as long as the socket takes it. What it doesn't take stays here, so that a
     * ping never waits behind more than the socket's own buffers.
     */
    private void writeAll(PeerConnection connection) {
        for (int i = 0; i < BATCHES_IN_A_ROW && connection.isWritable(); i++) {
            List<byte[]> batch = nextBatch();
            if (batch.isEmpty()) {
                return;
            }
            int bytes = batch.stream().mapToInt(m -> m.length).sum();
            connection.write(batch, bytes, () -> left(bytes));
        }
        if (connection.isWritable() && !mQueue.isEmpty()) {
            // The loop's other connections and timers come first.
            wake();
        }
    }

    private List<byte[]> nextBatch() {
        List<byte[]> batch = new ArrayList<>();
        int bytes = 0;
        byte[] message = mQueue.peek();
        while (message != null && (batch.isEmpty() || bytes + message.length <= BATCH_BYTES)) {
            batch.add(mQueue.remove());
            bytes += message.length;
            message = mQueue.peek();
        }
        return batch;
    }

    private void left(int bytes) {
        mUnsentBytes.addAndGet(-bytes);
        mOverflowing.set(false);
    }

    private void dialOrDrop() {
        InetSocketAddress address = mAddress;
        if (address == null || !mBackoff.isOpen(System.nanoTime())) {
            dropAll();
        } else if (!mQueue.isEmpty()) {
            dial(address);
        }
    }

    private void dropAll() {
        byte[] message = mQueue.poll();
        while (message != null) {
            left(message.length);
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
                .addListener((ChannelFuture f) -> dialled(f));
    }

    private void dialled(ChannelFuture future) {
        if (!future.isSuccess()) {
            dialFailed();
        }
    }

    private final class Initializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            channel.pipeline()
                    .addLast(
                            PeerConnection.DECODER,
                            new FrameDecoder(Frame.MAX_HANDSHAKE_BYTES, n -> {}))
                    .addLast(PeerConnection.dialled(mContext, mHost, mLane));
        }
    }

    /** Notes that the peer could not be dialled or was not whom it should be. */
    void dialFailed() {
        mDialling = false;
        mBackoff.failed(System.nanoTime());
        dropAll();
        mContext.presence().unreachable(mHost, mLane);
    }

    /** Takes a connection that has become ready; it carries what is sent from now on. */
    void ready(PeerConnection connection) {
        if (connection.isDialled()) {
            mDialling = false;
            mBackoff.succeeded();
        }
        mConnections.addFirst(connection);
        mContext.presence().up(mHost, connection.incarnation(), mLane);
        List.copyOf(mConnections).stream()
                .filter(c -> c != connection && isReplaced(c, connection))
                .forEach(PeerConnection::close);
        drain();
    }

    /** A peer dials again only if the connection that it dialled before is lost to it. */
    private static boolean isReplaced(PeerConnection old, PeerConnection fresh) {
        return !old.incarnation().equals(fresh.incarnation())
                || (!old.isDialled() && !fresh.isDialled());
    }

    /** Goes on writing after a connection's socket has taken what it was given. */
    void writable() {
        wake();
    }

    /** Forgets a connection that was ready. */
    void closed(PeerConnection connection) {
        mConnections.remove(connection);
        mContext.events().log(EventCode.PEER_LOST, mHost + " " + mLane);
        mContext.presence().down(mHost, mLane);
        wake();
    }
}
