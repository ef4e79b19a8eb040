package org.coltsfootproxy.fake;

import static com.google.common.base.Preconditions.checkNotNull;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;

/**
 * A stand-in target: an HTTP server that simulates a model engine or a plain service.
 *
 * <p>It records which requests ran and which key fields arrived ({@code GET /__record}), clears the
 * record ({@code POST /__reset}) and injects faults on demand ({@code POST
 * /__fault?kind=cut&every=10&delayMillis=0}). One event loop handles all requests.
 */
public final class FakeTarget implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 8 << 20;
    private static final long SHUTDOWN_TIMEOUT_MILLIS = 1000;

    private final TargetState mState;
    private final EventLoopGroup mLoop;
    private final Channel mServer;

    private FakeTarget(TargetState state, EventLoopGroup loop, Channel server) {
        mState = state;
        mLoop = loop;
        mServer = server;
    }

    /**
     * Starts a target.
     *
     * @throws ProxyException of kind {@link ErrorKind#SETTINGS_INVALID} if it can't bind the
     *     address
     */
    public static FakeTarget start(FakeTargetSettings settings) throws ProxyException {
        checkNotNull(settings, "settings");
        TargetState state = new TargetState(settings);
        EventLoopGroup loop =
                new MultiThreadIoEventLoopGroup(
                        1,
                        new DefaultThreadFactory("fake-target", true),
                        NioIoHandler.newFactory());
        ChannelFuture bindFuture =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(new Initializer(state))
                        .bind(settings.address())
                        .awaitUninterruptibly();
        if (!bindFuture.isSuccess()) {
            loop.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
            throw ProxyException.of(
                    ErrorKind.SETTINGS_INVALID,
                    "can't listen on "
                            + settings.address()
                            + ": "
                            + bindFuture.cause().getMessage(),
                    bindFuture.cause());
        }
        return new FakeTarget(state, loop, bindFuture.channel());
    }

    private static final class Initializer extends ChannelInitializer<SocketChannel> {
        private final TargetState mState;

        Initializer(TargetState state) {
            mState = state;
        }

        @Override
        protected void initChannel(SocketChannel channel) {
            channel.pipeline()
                    .addLast(new HttpServerCodec())
                    .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                    .addLast(new TargetHandler(mState));
        }
    }

    /** Returns the address on which the target listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) mServer.localAddress();
    }

    /** Returns a snapshot of the run record. */
    public RunRecord.Snapshot record() {
        return mState.record().snapshot();
    }

    /** Injects a fault from the next request on. */
    public void setFault(Fault fault) {
        mState.setFault(checkNotNull(fault, "fault"));
    }

    /** Stops listening and closes all connections. */
    @Override
    public void close() {
        mServer.close().awaitUninterruptibly();
        mLoop.shutdownGracefully(0, SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(SHUTDOWN_TIMEOUT_MILLIS);
    }
}
