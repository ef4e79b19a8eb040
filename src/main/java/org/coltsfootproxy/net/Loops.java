package org.coltsfootproxy.net;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;

/** Makes and stops the event loops of a duty. */
final class Loops {
    private static final long STOP_MILLIS = 2_000;

    private Loops() {}

    /** Returns event loops whose threads carry the name of their duty. */
    static EventLoopGroup create(String duty, int threads) {
        return new MultiThreadIoEventLoopGroup(
                threads, new DefaultThreadFactory(duty, true), NioIoHandler.newFactory());
    }

    /** Stops event loops and waits until they have ended, for a bounded time. */
    static void stop(EventLoopGroup group) {
        group.shutdownGracefully(0, STOP_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(STOP_MILLIS);
    }
}
