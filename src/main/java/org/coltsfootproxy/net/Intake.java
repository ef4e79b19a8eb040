package org.coltsfootproxy.net;

import io.netty.channel.Channel;
import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.coltsfootproxy.node.Input;

/**
 * Hands the inputs of one connection to the sink in order and loses none.
 *
 * <p>While the sink is full the connection isn't read, so that what waits here stays bounded by
 * what one read brings. Confined to the connection's event loop.
 */
final class Intake {
    private static final long RETRY_MILLIS = 1;

    private final EventExecutor mLoop;
    private final Consumer<Boolean> mReading;
    private final InputSink mSink;
    private final Queue<Input> mDeferred = new ArrayDeque<>();

    private Intake(EventExecutor loop, InputSink sink, Consumer<Boolean> reading) {
        mLoop = loop;
        mSink = sink;
        mReading = reading;
    }

    /** Returns the intake of a connection. */
    static Intake of(Channel channel, InputSink sink) {
        return new Intake(channel.eventLoop(), sink, channel.config()::setAutoRead);
    }

    /** Returns an intake for inputs that are of no connection. */
    static Intake of(EventExecutor loop, InputSink sink) {
        return new Intake(loop, sink, reading -> {});
    }

    /** Hands over an input, now or as soon as the sink has room. */
    void offer(Input input) {
        if (mDeferred.isEmpty() && mSink.offer(input)) {
            return;
        }
        mDeferred.add(input);
        if (mDeferred.size() == 1) {
            mReading.accept(false);
            retryLater();
        }
    }

    private void retryLater() {
        mLoop.schedule(this::drain, RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void drain() {
        while (!mDeferred.isEmpty() && mSink.offer(mDeferred.peek())) {
            mDeferred.remove();
        }
        if (mDeferred.isEmpty()) {
            mReading.accept(true);
        } else {
            retryLater();
        }
    }
}
