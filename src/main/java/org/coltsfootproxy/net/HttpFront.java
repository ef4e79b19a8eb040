package org.coltsfootproxy.net;

import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.base.Preconditions.checkState;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.ChannelGroupFuture;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.Metric;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.config.ClientLimits;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Problem;

/**
 * The HTTP/1.1 server for callers.
 *
 * <p>Each complete request is passed to the sink as an {@link
 * org.coltsfootproxy.node.Input.HttpCall}. The {@code execute} methods write the response; any
 * thread may call them, but only one thread at a time. Effects for a call that has ended are
 * ignored. If a caller disconnects before the end of its response, one {@link
 * org.coltsfootproxy.node.Input.HttpDisconnected} is passed to the sink.
 */
public final class HttpFront implements AutoCloseable {
    /** Size of each of a connection's two buffers in the kernel, which else grow to MBs. */
    static final int SOCKET_BUFFER_BYTES = 64 << 10;

    /** Limits what one connection reads before others get their turn. */
    private static final int MAX_READ_BYTES = 32 << 10;

    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2 << 10;
    private static final int LISTEN_BACKLOG = 1024;
    private static final int FLUSH_AFTER_WRITES = 256;

    /** Responses with the most unsent bytes allowed that may wait at the same time. */
    private static final long MAX_FULL_RESPONSES = 4;

    /** Fraction of the memory for clients that unsent responses may occupy. */
    private static final double UNSENT_FRACTION = 0.25;

    /** Fraction of the memory for clients that connections without requests may occupy. */
    private static final double CONNECTIONS_FRACTION = 0.25;

    /** Time without progress after which a connection gives way to a new one. */
    private static final long STALLED_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final HttpFrontSettings mSettings;
    private final ClientMemory mMemory;
    private final InputSink mSink;
    private final NetEvents mEvents;
    private final EventLoopGroup mLoops;
    private final ChannelGroup mChannels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final Map<Long, OpenCall> mOpenCalls = new ConcurrentHashMap<>();
    private final Set<ClientAccount> mAccounts = ConcurrentHashMap.newKeySet();
    private final UnsentBytes mUnsentBytes;
    private volatile Supplier<ClientLimits> mConfiguredLimits = () -> ClientLimits.NONE;
    private volatile LimitsInForce mLimitsInForce;

    /** Calls whose responses have ended and may still wait to be sent. */
    private final Map<Long, OpenCall> mEndedCalls = new ConcurrentHashMap<>();

    private final AtomicLong mNextCallId = new AtomicLong(1);
    private Channel mServer;
    private volatile boolean mDraining;
    private volatile boolean mFinished;

    private record LimitsInForce(ClientLimits configured, RequestLimits limits) {}

    private record OpenCall(FrontConnection connection, Exchange exchange, Channel channel) {}

    private HttpFront(
            HttpFrontSettings settings, ClientMemory memory, InputSink sink, NetEvents events) {
        mSettings = checkNotNull(settings, "settings");
        mMemory = checkNotNull(memory, "memory");
        mLimitsInForce = new LimitsInForce(ClientLimits.NONE, settings.requestLimits());
        mUnsentBytes = new UnsentBytes(memory);
        mSink = checkNotNull(sink, "sink");
        mEvents = checkNotNull(events, "events");
        mLoops = EventLoops.create("http-front", settings.threads());
    }

    /** Returns a server that is not listening yet and shares the memory of the process. */
    public static HttpFront create(HttpFrontSettings settings, InputSink sink, NetEvents events) {
        return create(settings, ClientMemory.ofProcess(), sink, events);
    }

    /**
     * Returns a server that is not listening yet and bounds what clients hold by {@code memory}.
     */
    static HttpFront create(
            HttpFrontSettings settings, ClientMemory memory, InputSink sink, NetEvents events) {
        return new HttpFront(settings, memory, sink, events);
    }

    /** Sets where limits for requests come from that replace those of the settings. */
    public void limitRequestsBy(Supplier<ClientLimits> limits) {
        mConfiguredLimits = checkNotNull(limits, "limits");
    }

    /**
     * Starts to listen.
     *
     * @return the bound address, with the actual port
     * @throws ProxyException of kind {@link ErrorKind#SETTINGS_INVALID} if the address can't be
     *     bound
     */
    public InetSocketAddress start() throws ProxyException {
        checkState(mServer == null, "already started");
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(mLoops)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(ChannelOption.SO_RCVBUF, SOCKET_BUFFER_BYTES)
                        .childOption(ChannelOption.SO_SNDBUF, SOCKET_BUFFER_BYTES)
                        .childOption(
                                ChannelOption.RECVBUF_ALLOCATOR,
                                new AdaptiveRecvByteBufAllocator(
                                                MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES)
                                        .maxMessagesPerRead(1))
                        .childHandler(new Initializer());
        mServer = Binding.bind(bootstrap, mSettings.address());
        return (InetSocketAddress) mServer.localAddress();
    }

    private final class Initializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            if (mChannels.size() >= maxConnections()) {
                endLongestIdle();
            }
            // A connection of another event loop closes later, so that the new one is refused.
            if (mChannels.size() >= maxConnections()) {
                mEvents.log(EventCode.CONNECTIONS_FULL, "callers");
                mEvents.count(Metric.CONNECTIONS_REFUSED, "front");
                channel.close();
                return;
            }
            mChannels.add(channel);
            FrontConnection connection = new FrontConnection(HttpFront.this);
            ClientAccount account = connection.intake().account();
            mAccounts.add(account);
            channel.closeFuture().addListener(f -> closed(account));
            channel.pipeline()
                    .addLast(new FlushConsolidationHandler(FLUSH_AFTER_WRITES, true))
                    .addLast(connection.intake().decoder())
                    .addLast(new HttpResponseEncoder())
                    .addLast(connection);
        }
    }

    private void closed(ClientAccount account) {
        mAccounts.remove(account);
        account.close();
    }

    private long maxConnections() {
        double byMemory =
                CONNECTIONS_FRACTION * mMemory.capacity() / RequestIntake.CONNECTION_BYTES;
        return Math.min(mSettings.maxConnections(), (long) byMemory);
    }

    /** Closes the connection without complete request that has made no progress for longest. */
    private void endLongestIdle() {
        long now = System.nanoTime();
        mAccounts.stream()
                .filter(a -> a.isClosable() && now - a.progressNanos() >= STALLED_NANOS)
                .max(Comparator.comparingLong(a -> now - a.progressNanos()))
                .ifPresent(account -> account.end(true));
    }

    /** Starts the response to a call. */
    public void execute(Effect.HttpHead head) {
        runOnEventLoop(head.call(), (connection, exchange) -> connection.writeHead(exchange, head));
    }

    /**
     * Sends a chunk of a response without delay.
     *
     * <p>If the unsent bytes exceed {@link HttpFrontSettings#maxUnsentBytes}, the caller's
     * connection is closed instead. If those of all responses exceed {@link #MAX_FULL_RESPONSES}
     * times as many, or {@link #UNSENT_FRACTION} of the memory for clients, the connection of the
     * response with the most unsent bytes is closed.
     */
    public void execute(Effect.HttpChunk chunk) {
        OpenCall open = mOpenCalls.get(chunk.call());
        if (open == null) {
            return;
        }
        long unsentBytes = open.exchange().addUnsentBytes(chunk.bytes().length);
        if (unsentBytes > mSettings.maxUnsentBytes()) {
            cut(open);
        } else if (mUnsentBytes.get() > maxUnsentBytes()) {
            Stream.of(mOpenCalls, mEndedCalls)
                    .flatMap(calls -> calls.values().stream())
                    .max(Comparator.comparingLong(o -> o.exchange().unsentBytes()))
                    .ifPresent(this::cut);
        }
        runOnEventLoop(
                open, (connection, exchange) -> connection.writeChunk(exchange, chunk.bytes()));
    }

    private long maxUnsentBytes() {
        return (long)
                Math.min(
                        MAX_FULL_RESPONSES * mSettings.maxUnsentBytes(),
                        UNSENT_FRACTION * mMemory.capacity());
    }

    private void cut(OpenCall open) {
        if (open.exchange().cut()) {
            runOnEventLoop(open, FrontConnection::abortUnread);
        }
    }

    /** Ends the response to a call. */
    public void execute(Effect.HttpEnd end) {
        OpenCall open = mOpenCalls.get(end.call());
        if (open != null) {
            mEndedCalls.put(end.call(), open);
            mOpenCalls.remove(end.call());
            runOnEventLoop(
                    open,
                    (connection, exchange) -> {
                        try {
                            connection.endResponse(exchange);
                        } finally {
                            connection.whenSent(() -> mEndedCalls.remove(end.call()));
                        }
                    });
        }
    }

    /** Aborts the response to a call in a way that the caller can detect. */
    public void execute(Effect.HttpAbort abort) {
        runOnEventLoop(abort.call(), FrontConnection::abort);
        mOpenCalls.remove(abort.call());
    }

    private void runOnEventLoop(long callId, BiConsumer<FrontConnection, Exchange> task) {
        Optional.ofNullable(mOpenCalls.get(callId)).ifPresent(open -> runOnEventLoop(open, task));
    }

    private void runOnEventLoop(OpenCall open, BiConsumer<FrontConnection, Exchange> task) {
        open.channel().eventLoop().execute(() -> run(open, task));
    }

    private void run(OpenCall open, BiConsumer<FrontConnection, Exchange> task) {
        try {
            task.accept(open.connection(), open.exchange());
        } catch (RuntimeException e) {
            mEvents.log(EventCode.HANDLER_FAILED, "response to a call: " + e);
            open.channel().close();
        }
    }

    /**
     * Starts to drain: from now on each response is sent completely with {@code Connection: close},
     * and its connection is closed after it.
     */
    public void startDraining() {
        mDraining = true;
    }

    /**
     * Ends the service: stops listening, answers the calls that have no response yet with a
     * problem, and waits until the responses that have ended are sent to their callers. Calls that
     * arrive in the meantime are refused.
     *
     * @param maxWaitNanos longest time to wait for callers that read slowly
     */
    public void finish(Problem problem, long maxWaitNanos) throws InterruptedException {
        mFinished = true;
        mServer.close().awaitUninterruptibly();
        mOpenCalls.values().forEach(open -> answer(open, problem));
        // Writes of a channel complete in their order, so an empty one completes as the last.
        ChannelGroupFuture sent = mChannels.writeAndFlush(Unpooled.EMPTY_BUFFER);
        sent.await(maxWaitNanos, TimeUnit.NANOSECONDS);
    }

    private void answer(OpenCall open, Problem problem) {
        open.channel()
                .eventLoop()
                .execute(() -> run(open, (c, exchange) -> c.writeProblem(exchange, problem)));
    }

    /** Returns the number of calls whose responses have not ended. */
    public int openCalls() {
        return mOpenCalls.size();
    }

    /** Returns the bytes of all responses that wait to be sent. */
    long unsentBytes() {
        return mUnsentBytes.get();
    }

    /** Returns the number of open caller connections. */
    public int openConnections() {
        return mChannels.size();
    }

    /** Stops listening and closes all connections; unfinished responses are aborted. */
    @Override
    public void close() {
        if (mServer != null) {
            mServer.close().awaitUninterruptibly();
        }
        mChannels.close().awaitUninterruptibly();
        EventLoops.stop(mLoops);
    }

    Exchange register(FrontConnection connection, Channel channel, InboundRequest request) {
        Exchange exchange =
                Exchange.of(mNextCallId.getAndIncrement(), request.withoutBody(), mUnsentBytes);
        mOpenCalls.put(exchange.callId(), new OpenCall(connection, exchange, channel));
        return exchange;
    }

    /** Removes a call and returns whether it was still open. */
    boolean unregister(Exchange exchange) {
        return mOpenCalls.remove(exchange.callId()) != null;
    }

    /** Returns the limits for requests that are in force. */
    RequestLimits limits() {
        ClientLimits configured = mConfiguredLimits.get();
        LimitsInForce inForce = mLimitsInForce;
        if (!configured.equals(inForce.configured())) {
            inForce = new LimitsInForce(configured, mSettings.requestLimits().with(configured));
            mLimitsInForce = inForce;
        }
        return inForce.limits();
    }

    ClientMemory memory() {
        return mMemory;
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

    /** Returns whether no further call is passed to the sink. */
    boolean isFinished() {
        return mFinished;
    }

    boolean isDraining() {
        return mDraining;
    }
}
