package org.coltsfootproxy.net;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.Ran;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Input;

/**
 * The HTTP/1.1 client for a changing set of targets, on one event loop.
 *
 * <p>Calls end in the same way as those of a {@link TargetClient}. The pools of addresses without
 * connections and calls are removed when there are many pools. Thread-safe.
 */
public final class FleetTargetClient implements AutoCloseable {
    /** Number of pools at which unused ones are removed before another pool is added. */
    private static final int POOL_CLEANUP_THRESHOLD = 64;

    private final EventLoopGroup mLoops = EventLoops.create("targets", 1);
    private final EventLoop mLoop = mLoops.next();
    private final Function<String, TargetClientSettings> mSettings;
    private final InputSink mSink;
    private final NetEvents mEvents;
    private final Map<String, TargetPool> mPools = new HashMap<>();

    private FleetTargetClient(
            Function<String, TargetClientSettings> settings, InputSink sink, NetEvents events) {
        mSettings = checkNotNull(settings, "settings");
        mSink = checkNotNull(sink, "sink");
        mEvents = checkNotNull(events, "events");
    }

    /**
     * Returns a client without connections.
     *
     * @param settings settings for all targets; their address is replaced by that of each call
     */
    public static FleetTargetClient create(
            TargetClientSettings settings, InputSink sink, NetEvents events) {
        checkNotNull(settings, "settings");
        return new FleetTargetClient(address -> settings.at(parse(address)), sink, events);
    }

    private static InetSocketAddress parse(String address) {
        HostAndPort parts = HostAndPort.fromString(address);
        return new InetSocketAddress(InetAddresses.forString(parts.getHost()), parts.getPort());
    }

    /** Sends a call to the target at the address that it states. */
    public void execute(Effect.AddressedTargetCall call) {
        long nowNanos = System.nanoTime();
        mLoop.execute(() -> start(call, nowNanos));
    }

    private void start(Effect.AddressedTargetCall call, long createdNanos) {
        try {
            pool(call.address()).call(call.call(), createdNanos);
        } catch (IllegalArgumentException e) {
            Input failed =
                    new Input.TargetFailed(
                            call.call().call(), ErrorKind.TARGET_FAILED, Ran.NO, e.getMessage());
            InputForwarder.of(mLoop, mSink).forward(failed);
        }
    }

    private TargetPool pool(String address) {
        TargetPool pool = mPools.get(address);
        if (pool != null) {
            return pool;
        }
        if (mPools.size() >= POOL_CLEANUP_THRESHOLD) {
            mPools.values().removeIf(TargetPool::isUnused);
        }
        TargetPool added = TargetPool.create(mLoop, mSettings.apply(address), mSink, mEvents);
        mPools.put(address, added);
        return added;
    }

    /** Cancels a call and closes the connection that carries it. */
    public void execute(Effect.TargetCancel cancel) {
        mLoop.execute(() -> mPools.values().forEach(pool -> pool.cancel(cancel.call())));
    }

    /** Closes all connections; calls that have not ended get no further input. */
    @Override
    public void close() {
        mLoop.submit(() -> mPools.values().forEach(TargetPool::closeNow)).awaitUninterruptibly();
        EventLoops.stop(mLoops);
    }
}
