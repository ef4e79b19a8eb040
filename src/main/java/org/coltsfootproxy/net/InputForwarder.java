package org.coltsfootproxy.net;

import io.netty.channel.Channel;
import io.netty.util.concurrent.EventExecutor;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.coltsfootproxy.node.Input;

/**
 * Forwards the inputs of one connection to the sink, in order and without loss.
 *
 * <p>Applies back pressure: while the sink is full the connection isn't read, so the number of
 * deferred inputs is bounded by what one read delivers. Confined to the connection's event loop.
 */
final class InputForwarder {
    private static final long RETRY_MILLIS = 1;

    private final EventExecutor mExecutor;
    private final Consumer<Boolean> mSetReading;
    private final InputSink mSink;
    private final Queue<Input> mDeferred = new ArrayDeque<>();

    private InputForwarder(EventExecutor executor, InputSink sink, Consumer<Boolean> setReading) {
        mExecutor = executor;
        mSink = sink;
        mSetReading = setReading;
    }

    /** Returns a forwarder that pauses reading of {@code channel} while the sink is full. */
    static InputForwarder of(Channel channel, InputSink sink) {
        return new InputForwarder(channel.eventLoop(), sink, channel.config()::setAutoRead);
    }

    /** Returns a forwarder for inputs that belong to no connection. */
    static InputForwarder of(EventExecutor executor, InputSink sink) {
        return new InputForwarder(executor, sink, setReading -> {});
    }

    /** Forwards an input now, or as soon as the sink has capacity. */
    void forward(Input input) {
        if (mDeferred.isEmpty() && mSink.offer(input)) {
            return;
        }
        mDeferred.add(input);
        if (mDeferred.size() == 1) {
            mSetReading.accept(false);
            scheduleRetry();
        }
    }

    private void scheduleRetry() {
        mExecutor.schedule(this::retryDeferred, RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void retryDeferred() {
        while (!mDeferred.isEmpty() && mSink.offer(mDeferred.peek())) {
            mDeferred.remove();
        }
        if (mDeferred.isEmpty()) {
            mSetReading.accept(true);
        } else {
            scheduleRetry();
        }
    }
}
