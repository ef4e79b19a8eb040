package org.coltsfootproxy.net;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.channel.EventLoopGroup;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.coltsfootproxy.base.TrafficClass;
import org.coltsfootproxy.node.Effect;

/**
 * The HTTP/1.1 client for one target.
 *
 * <p>Each call ends in exactly one {@link org.coltsfootproxy.node.Input.TargetEnd} or {@link
 * org.coltsfootproxy.node.Input.TargetFailed}, unless it is cancelled; inputs that were forwarded
 * before the cancellation may still arrive. A call is never retried here. Each traffic class has
 * its own connections and event loop. Thread-safe.
 */
public final class TargetClient implements AutoCloseable {
    private final List<EventLoopGroup> mLoops = new ArrayList<>();
    private final Map<TrafficClass, TargetPool> mPools = new EnumMap<>(TrafficClass.class);

    private TargetClient(TargetClientSettings settings, InputSink sink, NetEvents events) {
        checkNotNull(settings, "settings");
        checkNotNull(sink, "sink");
        checkNotNull(events, "events");
        for (TrafficClass trafficClass : TrafficClass.values()) {
            String threadName = "target-" + trafficClass.name().toLowerCase(Locale.ROOT);
            EventLoopGroup loops = EventLoops.create(threadName, 1);
            mLoops.add(loops);
            mPools.put(trafficClass, TargetPool.create(loops.next(), settings, sink, events));
        }
    }

    /** Returns a client without connections. */
    public static TargetClient create(
            TargetClientSettings settings, InputSink sink, NetEvents events) {
        return new TargetClient(settings, sink, events);
    }

    /** Sends a call to the target. */
    public void execute(Effect.TargetCall call) {
        mPools.get(call.trafficClass()).call(call);
    }

    /** Cancels a call and closes the connection that carries it. */
    public void execute(Effect.TargetCancel cancel) {
        mPools.values().forEach(p -> p.cancel(cancel.call()));
    }

    /** Closes all connections; calls that have not ended get no further input. */
    @Override
    public void close() {
        mPools.values().forEach(TargetPool::close);
        mLoops.forEach(EventLoops::stop);
    }
}
