package org.coltsfootproxy.net;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Settings of a {@link TargetClient}.
 *
 * @param address the target's IP number and port
 * @param connectTimeout longest time to open a connection
 * @param maxConnections most connections of each traffic class
 * @param maxHeaderBytes most bytes of an answer's head
 * @param idleTimeout longest time that an unused connection is kept, unless the target states one
 * @param dialect what the target expects besides plain HTTP/1.1
 */
public record TargetClientSettings(
        InetSocketAddress address,
        Duration connectTimeout,
        int maxConnections,
        int maxHeaderBytes,
        Duration idleTimeout,
        TargetDialect dialect) {
    private static final int DEFAULT_MAX_CONNECTIONS = 256;
    private static final int DEFAULT_MAX_HEADER_BYTES = 32 << 10;

    /** Checks the components. */
    public TargetClientSettings {
        checkNotNull(address, "address");
        checkArgument(!connectTimeout.isNegative(), "connectTimeout %s", connectTimeout);
        checkArgument(maxConnections > 0, "maxConnections %s is not positive", maxConnections);
        checkArgument(maxHeaderBytes > 0, "maxHeaderBytes %s is not positive", maxHeaderBytes);
        checkArgument(!idleTimeout.isNegative(), "idleTimeout %s is negative", idleTimeout);
        checkNotNull(dialect, "dialect");
    }

    /** Returns the default settings for an address. */
    public static TargetClientSettings defaults(InetSocketAddress address) {
        return new TargetClientSettings(
                address,
                Duration.ofSeconds(1),
                DEFAULT_MAX_CONNECTIONS,
                DEFAULT_MAX_HEADER_BYTES,
                Duration.ofSeconds(4),
                TargetDialect.PLAIN);
    }

    /** Returns these settings with another bound on connections. */
    public TargetClientSettings withMaxConnections(int connections) {
        return new TargetClientSettings(
                address, connectTimeout, connections, maxHeaderBytes, idleTimeout, dialect);
    }

    /** Returns these settings with other times. */
    public TargetClientSettings withTimeouts(Duration connect, Duration idle) {
        return new TargetClientSettings(
                address, connect, maxConnections, maxHeaderBytes, idle, dialect);
    }

    /** Returns these settings for targets that expect more than plain HTTP/1.1. */
    public TargetClientSettings withDialect(TargetDialect other) {
        return new TargetClientSettings(
                address, connectTimeout, maxConnections, maxHeaderBytes, idleTimeout, other);
    }

    /** Returns these settings for a target at another address. */
    TargetClientSettings at(InetSocketAddress other) {
        return new TargetClientSettings(
                other, connectTimeout, maxConnections, maxHeaderBytes, idleTimeout, dialect);
    }
}
