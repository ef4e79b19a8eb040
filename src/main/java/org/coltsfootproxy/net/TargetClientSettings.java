package org.coltsfootproxy.net;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Settings of a {@link TargetClient}.
 *
 * @param address the target's IP address and port
 * @param connectTimeout maximum time to open a connection
 * @param maxConnections maximum number of connections per pool: of each traffic class for a {@link
 *     TargetClient}, of each target address for a {@link FleetTargetClient}
 * @param maxHeaderBytes maximum size of a response's status line, and also of all its header fields
 *     together
 * @param idleTimeout maximum time that an idle connection is kept, unless the target states one
 * @param dialect how the target deviates from plain HTTP/1.1
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

    /** Checks the ranges of the sizes, counts and timeouts. */
    public TargetClientSettings {
        checkNotNull(address, "address");
        checkArgument(
                !connectTimeout.isNegative(), "connectTimeout %s is negative", connectTimeout);
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

    /** Returns these settings with another limit on connections. */
    public TargetClientSettings withMaxConnections(int connections) {
        return new TargetClientSettings(
                address, connectTimeout, connections, maxHeaderBytes, idleTimeout, dialect);
    }

    /** Returns these settings with other timeouts. */
    public TargetClientSettings withTimeouts(Duration connect, Duration idle) {
        return new TargetClientSettings(
                address, connect, maxConnections, maxHeaderBytes, idle, dialect);
    }

    /** Returns these settings for targets with another dialect. */
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
