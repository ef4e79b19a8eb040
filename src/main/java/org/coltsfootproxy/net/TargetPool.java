package org.coltsfootproxy.net;

import com.google.common.net.HostAndPort;
import com.google.common.primitives.Longs;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.Ran;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Input;

/** A pool of connections to one target, on one event loop. */
final class TargetPool {
    private static final int MAX_CHUNK_BYTES = 64 << 10;

    /** Size of a connection's receive buffer; if it is not set, the kernel lets it grow to MBs. */
    private static final int RECEIVE_BUFFER_BYTES = 64 << 10;

    private final TargetClientSettings mSettings;
    private final InputSink mSink;
    private final NetEvents mEvents;
    private final EventLoop mLoop;
    private final String mHostField;
    private final Deque<TargetConnection> mIdle = new ArrayDeque<>();
    private final Set<TargetConnection> mOpen = new HashSet<>();
    private final Map<Long, PendingCall> mPendingCalls = new HashMap<>();
    private final InputForwarder mForwarder;
    private int mConnecting;

    private TargetPool(
            EventLoop loop, TargetClientSettings settings, InputSink sink, NetEvents events) {
        mSettings = settings;
        mSink = sink;
        mEvents = events;
        mLoop = loop;
        mForwarder = InputForwarder.of(loop, sink);
        mHostField =
                HostAndPort.fromParts(
                                settings.address().getAddress().getHostAddress(),
                                settings.address().getPort())
                        .toString();
    }

    /** Returns a pool without connections. */
    static TargetPool create(
            EventLoop loop, TargetClientSettings settings, InputSink sink, NetEvents events) {
        return new TargetPool(loop, settings, sink, events);
    }

    /** Sends a call. Thread-safe. */
    void call(Effect.TargetCall call) {
        call(call, System.nanoTime());
    }

    /** Sends a call that was decided on at {@code createdNanos}. Thread-safe. */
    void call(Effect.TargetCall call, long createdNanos) {
        PendingCall pending = PendingCall.of(call, createdNanos);
        runOnEventLoop(() -> start(pending));
    }

    private void runOnEventLoop(Runnable action) {
        if (mLoop.inEventLoop()) {
            action.run();
        } else {
            mLoop.execute(action);
        }
    }

    /** Cancels a call and closes the connection that carries it. Thread-safe. */
    void cancel(long callId) {
        runOnEventLoop(() -> abort(callId));
    }

    private void start(PendingCall pending) {
        mPendingCalls.put(pending.callId(), pending);
        pending.setTimer(
                mLoop.schedule(
                        () -> onTimeout(pending),
                        pending.request().timeoutNanos() - pending.elapsedNanos(),
                        TimeUnit.NANOSECONDS));
        TargetConnection idle = pollIdle(pending);
        if (idle != null && pending.isLate()) {
            release(idle);
            fail(pending, ErrorKind.TARGET_FAILED, "the call waited too long for its thread");
        } else if (idle != null) {
            send(idle, pending);
        } else if (mOpen.size() + mConnecting >= mSettings.maxConnections()) {
            fail(pending, ErrorKind.OVERLOADED, "all connections to the target are in use");
        } else {
            connect(pending);
        }
    }

    /**
     * Removes and returns an idle connection for a call; null if there is none. If all have carried
     * the call before, one of them is closed, to make room for a new connection.
     */
    private TargetConnection pollIdle(PendingCall pending) {
        mIdle.removeIf(idle -> !idle.isUsable());
        Optional<TargetConnection> suitable =
                mIdle.stream().filter(idle -> !idle.hasCarried(pending)).findFirst();
        if (suitable.isPresent()) {
            mIdle.remove(suitable.get());
            return suitable.get();
        }
        TargetConnection unsuitable = mIdle.pollLast();
        if (unsuitable != null) {
            unsuitable.close();
            mOpen.remove(unsuitable);
        }
        return null;
    }

    private void send(TargetConnection connection, PendingCall pending) {
        if (timeLeftMillis(pending).filter(millis -> millis <= 0).isPresent()) {
            release(connection);
            fail(pending, ErrorKind.TARGET_FAILED, "the time has passed before the call was sent");
            return;
        }
        try {
            connection.send(pending);
        } catch (IllegalArgumentException e) {
            connection.close();
            fail(pending, ErrorKind.MALFORMED_REQUEST, e.getMessage());
        }
    }

    private void connect(PendingCall pending) {
        mConnecting++;
        new Bootstrap()
                .group(mLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
                // A failed write must not discard a response that has arrived.
                .option(ChannelOption.AUTO_CLOSE, false)
                .option(
                        ChannelOption.CONNECT_TIMEOUT_MILLIS,
                        (int) mSettings.connectTimeout().toMillis())
                .handler(new Initializer())
                .connect(mSettings.address())
                .addListener((ChannelFuture f) -> onConnected(f, pending));
    }

    private final class Initializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            ResponseDecoder decoder = new ResponseDecoder(mSettings.maxHeaderBytes());
            TargetConnection connection = new TargetConnection(TargetPool.this, channel, decoder);
            channel.pipeline()
                    .addLast(connection.byteCounter())
                    .addLast(decoder)
                    .addLast(new HttpRequestEncoder())
                    .addLast(connection);
        }
    }

    private void onConnected(ChannelFuture future, PendingCall pending) {
        mConnecting--;
        if (!future.isSuccess()) {
            fail(
                    pending,
                    ErrorKind.TARGET_FAILED,
                    "can't connect to the target: " + future.cause().getMessage());
            return;
        }
        TargetConnection connection = connectionOf(future.channel());
        mOpen.add(connection);
        if (pending.isEnded()) {
            release(connection);
        } else if (pending.isLate()) {
            release(connection);
            fail(pending, ErrorKind.TARGET_FAILED, "the connection to the target took too long");
        } else if (connection.isUsable()) {
            send(connection, pending);
        } else {
            fail(pending, ErrorKind.TARGET_FAILED, "the target closed the new connection");
        }
    }

    private static TargetConnection connectionOf(Channel channel) {
        return channel.pipeline().get(TargetConnection.class);
    }

    private void fail(PendingCall pending, ErrorKind kind, String detail) {
        if (pending.isEnded()) {
            return;
        }
        removeCall(pending);
        pending.end();
        mForwarder.forward(new Input.TargetFailed(pending.callId(), kind, Ran.NO, detail));
    }

    private void onTimeout(PendingCall pending) {
        if (pending.isEnded()) {
            return;
        }
        Ran ran = pending.state().ran();
        removeCall(pending);
        pending.abort();
        if (ran == Ran.MAYBE) {
            closeIdleConnections();
        }
        mForwarder.forward(
                new Input.TargetFailed(
                        pending.callId(),
                        ErrorKind.TARGET_TIMEOUT,
                        ran,
                        "no complete response before the timeout"));
    }

    /**
     * Closes the idle connections. Called after a call without response, because a target that lost
     * track of one connection may have lost track of the others as well.
     */
    private void closeIdleConnections() {
        List.copyOf(mIdle).forEach(TargetConnection::close);
        mIdle.clear();
    }

    private void abort(long callId) {
        PendingCall pending = mPendingCalls.remove(callId);
        if (pending == null) {
            return;
        }
        boolean isUnanswered = pending.state().ran() == Ran.MAYBE;
        pending.abort();
        if (isUnanswered) {
            closeIdleConnections();
        }
    }

    /** Removes a call that has ended. */
    void removeCall(PendingCall pending) {
        mPendingCalls.remove(pending.callId());
    }

    /** Returns a connection to the pool, if it can carry another call. */
    void release(TargetConnection connection) {
        if (connection.isUsable()) {
            mIdle.addFirst(connection);
            connection.closeAfterIdle(
                    connection.keepAliveNanos().orElse(mSettings.idleTimeout().toNanos()));
        }
    }

    /**
     * Returns the number of bytes that may arrive without any of them being part of the response to
     * the call: a status line, header fields, trailers, and the last read.
     */
    int maxBytesWithoutProgress() {
        return 3 * mSettings.maxHeaderBytes() + MAX_CHUNK_BYTES;
    }

    /** Returns the milliseconds that are left for a call now; empty if the call tells none. */
    Optional<Long> timeLeftMillis(PendingCall pending) {
        return dialect()
                .timeLeftHeader()
                .flatMap(pending.request()::header)
                .map(Longs::tryParse)
                .map(millis -> millis - TimeUnit.NANOSECONDS.toMillis(pending.elapsedNanos()));
    }

    TargetDialect dialect() {
        return mSettings.dialect();
    }

    /** Removes a closed connection. */
    void onClosed(TargetConnection connection) {
        mOpen.remove(connection);
        mIdle.remove(connection);
    }

    /** Closes all connections and waits until that is done. Not on the event loop. */
    void close() {
        mLoop.submit(this::closeNow).awaitUninterruptibly();
    }

    /** Closes all connections. Only on the event loop. */
    void closeNow() {
        new ArrayList<>(mOpen).forEach(TargetConnection::close);
    }

    /** Returns whether there is neither a connection nor a call. Only on the event loop. */
    boolean isUnused() {
        return mOpen.isEmpty() && mConnecting == 0 && mPendingCalls.isEmpty();
    }

    InputSink sink() {
        return mSink;
    }

    NetEvents events() {
        return mEvents;
    }

    String hostField() {
        return mHostField;
    }
}
