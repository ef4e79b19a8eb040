package org.coltsfootproxy.net;

import static com.google.common.base.Preconditions.checkArgument;

import io.netty.channel.Channel;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.Optional;
import java.util.Set;

/**
 * The accepted connections whose other side has not proved yet that it belongs to the fleet. Their
 * number is bounded, since anybody can open them. Thread-safe.
 */
final class UnprovenPeers {
    private final int mMaxConnections;
    private final Set<Channel> mChannels = new LinkedHashSet<>();

    private UnprovenPeers(int maxConnections) {
        checkArgument(maxConnections > 0, "maxConnections %s is not positive", maxConnections);
        mMaxConnections = maxConnections;
    }

    /** Returns an empty set for at most {@code maxConnections}. */
    static UnprovenPeers atMost(int maxConnections) {
        return new UnprovenPeers(maxConnections);
    }

    /**
     * Adds a connection. The first ones are given up before later ones, so that connections that
     * stay silent don't keep out peers, whose handshakes are short.
     *
     * @return the connection that has to be closed to stay within the bound
     */
    Optional<Channel> add(Channel channel) {
        Optional<Channel> first = addWithinBound(channel);
        channel.closeFuture().addListener(f -> remove(channel));
        return first;
    }

    private synchronized Optional<Channel> addWithinBound(Channel channel) {
        mChannels.add(channel);
        if (mChannels.size() <= mMaxConnections) {
            return Optional.empty();
        }
        Iterator<Channel> channels = mChannels.iterator();
        Channel first = channels.next();
        channels.remove();
        return Optional.of(first);
    }

    /** Removes a connection that has closed or whose other side has given its proof. */
    synchronized void remove(Channel channel) {
        mChannels.remove(channel);
    }
}
