package org.coltsfootproxy.net;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;
import static com.google.common.base.Preconditions.checkState;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Metric;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.base.RecordCodec;
import org.coltsfootproxy.message.Lane;
import org.coltsfootproxy.message.Message;
import org.coltsfootproxy.node.Effect;

/**
 * Exchanges messages between the hosts of a fleet.
 *
 * <p>Each {@link Lane} has its own connection to each peer and its own event loop, so that bulk
 * messages of one lane don't delay those of another. Before the first message both sides of a
 * connection prove that they know the fleet's secret. Messages may be lost and, after a
 * reconnection, reordered, but they are never altered or duplicated here. A connection whose pings
 * are not answered is closed. Thread-safe.
 */
public final class PeerTransport implements AutoCloseable {
    private static final int MAX_CONNECTIONS = 8192;
    private static final int LISTEN_BACKLOG = 1024;

    private final PeerSettings mSettings;
    private final NetEvents mEvents;
    private final Map<Lane, EventLoopGroup> mGroups = new EnumMap<>(Lane.class);
    private final Map<Lane, EventLoop> mLoops = new EnumMap<>(Lane.class);
    private final Map<LinkKey, PeerLink> mLinks = new ConcurrentHashMap<>();
    private final ChannelGroup mAccepted = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
    private final PeerContext mContext;
    private Channel mServer;

    /** The message that was encoded last; a message to several peers is encoded once. */
    private volatile EncodedMessage mLastEncoded = new EncodedMessage(null, new byte[0]);

    private record LinkKey(HostId host, Lane lane) {}

    private record EncodedMessage(Message message, byte[] bytes) {}

    private PeerTransport(PeerSettings settings, InputSink sink, NetEvents events) {
        mSettings = checkNotNull(settings, "settings");
        mEvents = checkNotNull(events, "events");
        for (Lane lane : Lane.values()) {
            EventLoopGroup group =
                    EventLoops.create("peer-" + lane.name().toLowerCase(Locale.ROOT), 1);
            mGroups.put(lane, group);
            mLoops.put(lane, group.next());
        }
        mContext =
                new PeerContext(
                        settings,
                        FleetSecret.of(settings.secret()),
                        RecordCodec.of(Message.class),
                        RecordCodec.of(Handshake.class),
                        checkNotNull(sink, "sink"),
                        events,
                        PeerReachability.create(sink, mLoops.get(Lane.CONTROL)),
                        UnprovenPeers.atMost(settings.maxUnproven()),
                        new LinkTable());
    }

    /** Returns a transport that is neither listening nor connected. */
    public static PeerTransport create(PeerSettings settings, InputSink sink, NetEvents events) {
        return new PeerTransport(settings, sink, events);
    }

    private final class LinkTable implements PeerContext.Links {
        @Override
        public PeerLink link(HostId host, Lane lane) {
            return PeerTransport.this.link(host, lane);
        }

        @Override
        public EventLoop loop(Lane lane) {
            return mLoops.get(lane);
        }
    }

    private PeerLink link(HostId host, Lane lane) {
        return mLinks.computeIfAbsent(new LinkKey(host, lane), k -> newLink(host, lane));
    }

    private PeerLink newLink(HostId host, Lane lane) {
        PeerLink link = PeerLink.create(mContext, host, lane, mLoops.get(lane));
        mSettings.addressOf(host).ifPresent(link::setAddress);
        return link;
    }

    /**
     * Starts to listen.
     *
     * @return the bound address, with the actual port
     * @throws ProxyException of kind {@link org.coltsfootproxy.base.ErrorKind#SETTINGS_INVALID} if
     *     the address can't be bound
     */
    public InetSocketAddress start() throws ProxyException {
        checkState(mServer == null, "already started");
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(mGroups.get(Lane.CONTROL))
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, LISTEN_BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childOption(
                                ChannelOption.WRITE_BUFFER_WATER_MARK, PeerConnection.WATER_MARK)
                        .childHandler(new Initializer());
        mServer = Binding.bind(bootstrap, mSettings.address());
        return (InetSocketAddress) mServer.localAddress();
    }

    private final class Initializer extends ChannelInitializer<SocketChannel> {
        @Override
        protected void initChannel(SocketChannel channel) {
            if (mAccepted.size() >= MAX_CONNECTIONS) {
                mEvents.log(EventCode.CONNECTIONS_FULL, "peers");
                mEvents.count(Metric.CONNECTIONS_REFUSED, "peers");
                channel.close();
                return;
            }
            mAccepted.add(channel);
            mContext.unproven()
                    .add(channel)
                    .ifPresent(
                            first -> {
                                mContext.reportRefused(
                                        first.remoteAddress() + " gave no proof yet");
                                first.close();
                            });
            channel.pipeline()
                    .addLast(
                            PeerConnection.DECODER_NAME,
                            new FrameDecoder(Frame.MAX_HANDSHAKE_BYTES, n -> {}))
                    .addLast(new PeerAcceptor(mContext));
        }
    }

    /** Sends a message to a peer, or drops and counts it if it is too large or can't be sent. */
    public void send(HostId to, Message message) {
        byte[] encoded = encode(message);
        if (encoded.length > mSettings.maxFrameBytes()) {
            mEvents.log(
                    EventCode.PEER_OVERFLOW,
                    message.getClass().getSimpleName() + " of " + encoded.length + " bytes");
            mEvents.count(Metric.PEER_MESSAGES_DROPPED, message.lane().name());
            return;
        }
        link(to, message.lane()).send(encoded);
    }

    private byte[] encode(Message message) {
        EncodedMessage last = mLastEncoded;
        if (last.message() != message) {
            last = new EncodedMessage(message, mContext.messages().encode(message));
            mLastEncoded = last;
        }
        return last.bytes();
    }

    /**
     * Sets the address on which a peer listens.
     *
     * <p>The peer is dialled when a message for it is to be sent and there is no connection.
     *
     * @param address IP address and port
     * @throws IllegalArgumentException if the host part is not an IP address
     */
    public void setAddress(HostId host, String address) {
        HostAndPort parts = HostAndPort.fromString(address);
        checkArgument(
                InetAddresses.isInetAddress(parts.getHost()), "'%s' has no IP address", address);
        InetSocketAddress socket =
                new InetSocketAddress(InetAddresses.forString(parts.getHost()), parts.getPort());
        Arrays.stream(Lane.values()).forEach(l -> link(host, l).setAddress(socket));
    }

    /** Sends a message. */
    public void execute(Effect.Send send) {
        send(send.to(), send.message());
    }

    /** Sets the address on which a peer listens. */
    public void execute(Effect.PeerAddress address) {
        setAddress(address.host(), address.address());
    }

    /** Returns the number of bytes that are not yet sent to a peer in a lane. */
    public long unsentBytes(HostId host, Lane lane) {
        return link(host, lane).unsentBytes();
    }

    /** Stops listening and closes all connections. */
    @Override
    public void close() {
        if (mServer != null) {
            mServer.close().awaitUninterruptibly();
        }
        mGroups.values().forEach(EventLoops::stop);
    }
}
