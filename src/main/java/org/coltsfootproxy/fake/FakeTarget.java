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
 * A stand-in target: a model engine or a plain service.
 *
 * <p>It records what ran and which key fields arrived ({@code GET /__record}), forgets it ({@code
 * POST /__reset}) and shows faults on demand ({@code POST
 * /__fault?kind=cut&every=10&delayMillis=0}). One event loop carries all its requests.
 */
public final class FakeTarget implements AutoCloseable {
    private static final int MAX_BODY_BYTES = 8 << 20;
    private static final long STOP_MILLIS = 1000;

    private final TargetState mState;
    private final EventLoopGroup mLoop;
    private final Channel mServer;

    private FakeTarget(TargetState state, EventLoopGroup loop, Channel server) {
        mState = state;
        mLoop = loop;
        mServer = server;
    }

    /**
     * Returns a target that listens.
     *
     * @throws ProxyException of kind {@link ErrorKind#SETTINGS_INVALID} if the address can't be
     *     used
     */
    public static FakeTarget start(FakeTargetSettings settings) throws ProxyException {
        checkNotNull(settings, "settings");
        TargetState state = new TargetState(settings);
        EventLoopGroup loop =
                new MultiThreadIoEventLoopGroup(
                        1,
                        new DefaultThreadFactory("fake-target", true),
                        NioIoHandler.newFactory());
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(new Initializer(state))
                        .bind(settings.address())
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            loop.shutdownGracefully(0, STOP_MILLIS, TimeUnit.MILLISECONDS);
            throw ProxyException.of(
                    ErrorKind.SETTINGS_INVALID,
                    "can't listen on " + settings.address() + ": " + bound.cause().getMessage(),
                    bound.cause());
        }
        return new FakeTarget(state, loop, bound.channel());
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

    /** Returns where the target listens. */
    public InetSocketAddress address() {
        return (InetSocketAddress) mServer.localAddress();
    }

    /** Returns what the target has seen. */
    public RunRecord.Snapshot record() {
        return mState.record().snapshot();
    }

    /** Shows a fault from the next request on. */
    public void setFault(Fault fault) {
        mState.setFault(checkNotNull(fault, "fault"));
    }

    /** Stops to listen and closes all connections. */
    @Override
    public void close() {
        mServer.close().awaitUninterruptibly();
        mLoop.shutdownGracefully(0, STOP_MILLIS, TimeUnit.MILLISECONDS)
                .awaitUninterruptibly(STOP_MILLIS);
    }
}
