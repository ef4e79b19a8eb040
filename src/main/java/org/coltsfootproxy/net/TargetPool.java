package org.coltsfootproxy.net;

import com.google.common.net.HostAndPort;
import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestEncoder;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.Ran;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Input;

/** The connections to one target, on one event loop. */
final class TargetPool {
    private static final int MAX_CHUNK_BYTES = 64 << 10;

    private final TargetClientSettings mSettings;
    private final InputSink mSink;
    private final NetEvents mEvents;
    private final EventLoop mLoop;
    private final String mHostField;
    private final Deque<TargetConnection> mIdle = new ArrayDeque<>();
    private final Set<TargetConnection> mOpen = new HashSet<>();
    private final Map<Long, TargetTask> mTasks = new HashMap<>();
    private final Intake mIntake;
    private int mConnecting;

    private TargetPool(
            EventLoop loop, TargetClientSettings settings, InputSink sink, NetEvents events) {
        mSettings = settings;
        mSink = sink;
        mEvents = events;
        mLoop = loop;
        mIntake = Intake.of(loop, sink);
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

    /** Sends a call. Any thread. */
    void call(Effect.TargetCall call) {
        onLoop(() -> start(TargetTask.of(call)));
    }

    private void onLoop(Runnable task) {
        if (mLoop.inEventLoop()) {
            task.run();
        } else {
            mLoop.execute(task);
        }
    }

    /** Gives up a call. Any thread. */
    void cancel(long call) {
        onLoop(() -> abandon(call));
    }

    private void start(TargetTask task) {
        mTasks.put(task.call(), task);
        task.timer(
                mLoop.schedule(
                        () -> timedOut(task), task.request().timeoutNanos(), TimeUnit.NANOSECONDS));
        TargetConnection idle = takeIdle();
        if (idle != null) {
            begin(idle, task);
        } else if (mOpen.size() + mConnecting >= mSettings.maxConnections()) {
            fail(task, ErrorKind.OVERLOADED, "all connections to the target are in use");
        } else {
            connect(task);
        }
    }

    private TargetConnection takeIdle() {
        TargetConnection idle = mIdle.pollFirst();
        while (idle != null && !idle.isUsable()) {
            idle = mIdle.pollFirst();
        }
        return idle;
    }

    private void begin(TargetConnection connection, TargetTask task) {
        try {
            connection.begin(task);
        } catch (IllegalArgumentException e) {
            connection.close();
            fail(task, ErrorKind.MALFORMED_REQUEST, e.getMessage());
        }
    }

    private void connect(TargetTask task) {
        mConnecting++;
        new Bootstrap()
                .group(mLoop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(
                        ChannelOption.CONNECT_TIMEOUT_MILLIS,
                        (int) mSettings.connectTimeout().toMillis())
                .handler(new Initializer())
                .connect(mSettings.address())
                .addListener((ChannelFuture f) -> connected(f, task));
    }

    private final class Initializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            AnswerDecoder decoder = new AnswerDecoder(decoderConfig());
            channel.pipeline()
                    .addLast(decoder)
                    .addLast(new HttpRequestEncoder())
                    .addLast(new TargetConnection(TargetPool.this, channel, decoder));
        }
    }

    private HttpDecoderConfig decoderConfig() {
        return new HttpDecoderConfig()
                .setMaxInitialLineLength(mSettings.maxHeaderBytes())
                .setMaxHeaderSize(mSettings.maxHeaderBytes())
                .setMaxChunkSize(MAX_CHUNK_BYTES)
                .setAllowDuplicateContentLengths(false)
                .setUseRfc9112TransferEncoding(true);
    }

    private void connected(ChannelFuture future, TargetTask task) {
        mConnecting--;
        if (!future.isSuccess()) {
            fail(task, ErrorKind.TARGET_FAILED, "can't connect: " + future.cause().getMessage());
            return;
        }
        TargetConnection connection = connectionOf(future.channel());
        mOpen.add(connection);
        if (task.isEnded()) {
            release(connection);
        } else if (connection.isUsable()) {
            begin(connection, task);
        } else {
            fail(task, ErrorKind.TARGET_FAILED, "the target closed the new connection");
        }
    }

    private static TargetConnection connectionOf(Channel channel) {
        return channel.pipeline().get(TargetConnection.class);
    }

    private void fail(TargetTask task, ErrorKind kind, String detail) {
        if (task.isEnded()) {
            return;
        }
        ended(task);
        task.end();
        mIntake.offer(new Input.TargetFailed(task.call(), kind, Ran.NO, detail));
    }

    private void timedOut(TargetTask task) {
        if (task.isEnded()) {
            return;
        }
        Ran ran = task.step().ran();
        ended(task);
        task.abandon();
        if (ran == Ran.MAYBE) {
            closeIdle();
        }
        mIntake.offer(
                new Input.TargetFailed(
                        task.call(), ErrorKind.TARGET_TIMEOUT, ran, "no whole answer in time"));
    }

    /** What lost track of one connection may have lost track of the others as well. */
    private void closeIdle() {
        List.copyOf(mIdle).forEach(TargetConnection::close);
        mIdle.clear();
    }

    private void abandon(long call) {
        TargetTask task = mTasks.remove(call);
        if (task == null) {
            return;
        }
        boolean isUnanswered = task.step().ran() == Ran.MAYBE;
        task.abandon();
        if (isUnanswered) {
            closeIdle();
        }
    }

    /** Forgets a call that has ended. */
    void ended(TargetTask task) {
        mTasks.remove(task.call());
    }

    /** Takes a connection back that may carry another call. */
    void release(TargetConnection connection) {
        if (connection.isUsable()) {
            mIdle.addFirst(connection);
            connection.idle(connection.keepAliveNanos().orElse(mSettings.idleTimeout().toNanos()));
        }
    }

    TargetDialect dialect() {
        return mSettings.dialect();
    }

    /** Forgets a closed connection. */
    void closed(TargetConnection connection) {
        mOpen.remove(connection);
        mIdle.remove(connection);
    }

    /** Closes all connections. Any thread. */
    void close() {
        mLoop.submit(this::closeNow).awaitUninterruptibly();
    }

    /** Closes all connections. Only on the loop. */
    void closeNow() {
        new ArrayList<>(mOpen).forEach(TargetConnection::close);
    }

    /** Tells whether there is neither a connection nor a call. Only on the loop. */
    boolean isUnused() {
        return mOpen.isEmpty() && mConnecting == 0 && mTasks.isEmpty();
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
