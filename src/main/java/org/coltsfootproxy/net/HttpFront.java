package org.coltsfootproxy.net;

import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.base.Preconditions.checkState;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.Metric;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.node.Effect;

/**
 * The HTTP/1.1 server towards callers.
 *
 * <p>Each whole request becomes an {@link org.coltsfootproxy.node.Input.HttpCall}; the methods that
 * take effects answer it and may be called by any one thread. Effects for a call that has ended are
 * ignored. A caller that goes away before the end of its answer becomes one {@link
 * org.coltsfootproxy.node.Input.HttpGone}.
 */
public final class HttpFront implements AutoCloseable {
    private static final int MAX_CHUNK_BYTES = 64 << 10;
    private static final int BACKLOG = 1024;
    private static final int FLUSH_AFTER_WRITES = 256;

    private final HttpFrontSettings mSettings;
    private final InputSink mSink;
    private final NetEvents mEvents;
    private final EventLoopGroup mLoops;
    private final ChannelGroup mChannels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final Map<Long, OpenCall> mOpen = new ConcurrentHashMap<>();
    private final AtomicLong mNextCall = new AtomicLong(1);
    private Channel mServer;
    private volatile boolean mLameDuck;

    private record OpenCall(FrontConnection connection, Exchange exchange, Channel channel) {}

    private HttpFront(HttpFrontSettings settings, InputSink sink, NetEvents events) {
        mSettings = checkNotNull(settings, "settings");
        mSink = checkNotNull(sink, "sink");
        mEvents = checkNotNull(events, "events");
        mLoops = Loops.create("http-front", settings.threads());
    }

    /** Returns a server that doesn't listen yet. */
    public static HttpFront create(HttpFrontSettings settings, InputSink sink, NetEvents events) {
        return new HttpFront(settings, sink, events);
    }

    /**
     * Listens.
     *
     * @return the address with the port that is listened on
     * @throws ProxyException of kind {@link ErrorKind#SETTINGS_INVALID} if the address can't be
     *     used
     */
    public InetSocketAddress start() throws ProxyException {
        checkState(mServer == null, "already started");
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(mLoops)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(new Initializer());
        mServer = Binding.bind(bootstrap, mSettings.address());
        return (InetSocketAddress) mServer.localAddress();
    }

    private final class Initializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            if (mChannels.size() >= mSettings.maxConnections()) {
                mEvents.log(EventCode.CONNECTIONS_FULL, "callers");
                mEvents.count(Metric.CONNECTIONS_REFUSED, "front");
                channel.close();
                return;
            }
            mChannels.add(channel);
            FrontConnection connection = new FrontConnection(HttpFront.this);
            channel.pipeline()
                    .addLast(new FlushConsolidationHandler(FLUSH_AFTER_WRITES, true))
                    .addLast(new StrictRequestDecoder(decoderConfig(), connection::onBytes))
                    .addLast(new HttpResponseEncoder())
                    .addLast(connection);
        }
    }

    private HttpDecoderConfig decoderConfig() {
        return new HttpDecoderConfig()
                .setMaxInitialLineLength(mSettings.maxHeaderBytes())
                .setMaxHeaderSize(mSettings.maxHeaderBytes())
                .setMaxChunkSize(MAX_CHUNK_BYTES)
                .setAllowDuplicateContentLengths(false)
                .setStrictLineParsing(true)
                .setUseRfc9112TransferEncoding(true);
    }

    /** Begins the answer to a call. */
    public void carryOut(Effect.HttpHead head) {
        onLoop(head.call(), (connection, exchange) -> connection.head(exchange, head));
    }

    /** Sends a piece of an answer at once; a caller that leaves too much unread is cut off. */
    public void carryOut(Effect.HttpChunk chunk) {
        OpenCall open = mOpen.get(chunk.call());
        if (open == null) {
            return;
        }
        long unsent = open.exchange().addUnsent(chunk.bytes().length);
        BiConsumer<FrontConnection, Exchange> task =
                unsent > mSettings.maxUnsentBytes()
                        ? FrontConnection::overflow
                        : (connection, exchange) -> connection.chunk(exchange, chunk.bytes());
        onLoop(chunk.call(), task);
    }

    /** Ends an answer. */
    public void carryOut(Effect.HttpEnd end) {
        onLoop(end.call(), FrontConnection::end);
        mOpen.remove(end.call());
    }

    /** Breaks an answer off so that the caller sees it. */
    public void carryOut(Effect.HttpCut cut) {
        onLoop(cut.call(), FrontConnection::cut);
        mOpen.remove(cut.call());
    }

    private void onLoop(long call, BiConsumer<FrontConnection, Exchange> task) {
        Optional.ofNullable(mOpen.get(call))
                .ifPresent(o -> o.channel().eventLoop().execute(() -> run(o, task)));
    }

    private void run(OpenCall open, BiConsumer<FrontConnection, Exchange> task) {
        try {
            task.accept(open.connection(), open.exchange());
        } catch (RuntimeException e) {
            mEvents.log(EventCode.HANDLER_FAILED, "answer of call: " + e);
            open.channel().close();
        }
    }

    /** From now on each answer tells its caller that the connection ends; none is cut. */
    public void lameDuck() {
        mLameDuck = true;
    }

    /** Returns the number of calls whose answers have not ended. */
    public int openCalls() {
        return mOpen.size();
    }

    /** Returns the number of open connections. */
    public int openConnections() {
        return mChannels.size();
    }

    /** Stops to listen and closes all connections; what is still being answered is cut. */
    @Override
    public void close() {
        if (mServer != null) {
            mServer.close().awaitUninterruptibly();
        }
        mChannels.close().awaitUninterruptibly();
        Loops.stop(mLoops);
    }

    Exchange open(FrontConnection connection, Channel channel, ArrivedRequest request) {
        Exchange exchange = Exchange.of(mNextCall.getAndIncrement(), request);
        mOpen.put(exchange.call(), new OpenCall(connection, exchange, channel));
        return exchange;
    }

    /** Ends a call and tells whether it had not ended before. */
    boolean forget(Exchange exchange) {
        return mOpen.remove(exchange.call()) != null;
    }

    HttpFrontSettings settings() {
        return mSettings;
    }

    InputSink sink() {
        return mSink;
    }

    NetEvents events() {
        return mEvents;
    }

    boolean isLameDuck() {
        return mLameDuck;
    }
}
