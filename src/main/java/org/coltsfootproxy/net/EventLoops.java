package org.coltsfootproxy.net;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.FatalErrors;

/** Creates and stops groups of event loops. */
final class EventLoops {
    private static final long STOP_MILLIS = 2_000;

    /** Groups that were stopped on purpose; a process stops few. */
    private static final Set<EventLoopGroup> STOPPED = ConcurrentHashMap.newKeySet();

    private EventLoops() {}

    /**
     * Returns event loops whose daemon threads are named after {@code threadName}.
     *
     * <p>Netty logs an error that ends a thread and does without its connections from then on. Here
     * it ends the process.
     */
    static EventLoopGroup create(String threadName, int threads) {
        EventLoopGroup group =
                new MultiThreadIoEventLoopGroup(
                        threads,
                        new DefaultThreadFactory(threadName, true),
                        NioIoHandler.newFactory());
        group.forEach(loop -> loop.terminationFuture().addListener(f -> onTerminated(group)));
        return group;
    }

    private static void onTerminated(EventLoopGroup group) {
        if (!STOPPED.contains(group)) {
            FatalErrors.end(new IllegalStateException("the thread of an event loop has ended"));
        }
    }

    /** Stops event loops and waits for their termination, at most 2 s. */
    static void stop(EventLoopGroup group) {
        STOPPED.add(group);
        group.shutdownGracefully(0, STOP_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(STOP_MILLIS);
    }
}
