package org.coltsfootproxy.net;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;

/** Creates and stops groups of event loops. */
final class EventLoops {
    private static final long STOP_MILLIS = 2_000;

    private EventLoops() {}

    /** Returns event loops whose daemon threads are named after {@code threadName}. */
    static EventLoopGroup create(String threadName, int threads) {
        return new MultiThreadIoEventLoopGroup(
                threads, new DefaultThreadFactory(threadName, true), NioIoHandler.newFactory());
    }

    /** Stops event loops and waits for their termination, at most 2 s. */
    static void stop(EventLoopGroup group) {
        group.shutdownGracefully(0, STOP_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(STOP_MILLIS);
    }
}
