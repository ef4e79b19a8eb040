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
 * @param idleTimeout longest time that an unused connection is kept
 */
public record TargetClientSettings(
        InetSocketAddress address,
        Duration connectTimeout,
        int maxConnections,
        int maxHeaderBytes,
        Duration idleTimeout) {
    private static final int DEFAULT_MAX_CONNECTIONS = 256;
    private static final int DEFAULT_MAX_HEADER_BYTES = 32 << 10;

    /** Checks the components. */
    public TargetClientSettings {
        checkNotNull(address, "address");
        checkArgument(!connectTimeout.isNegative(), "connectTimeout %s", connectTimeout);
        checkArgument(maxConnections > 0, "maxConnections %s is not positive", maxConnections);
        checkArgument(maxHeaderBytes > 0, "maxHeaderBytes %s is not positive", maxHeaderBytes);
        checkArgument(!idleTimeout.isNegative(), "idleTimeout %s is negative", idleTimeout);
    }

    /** Returns the default settings for an address. */
    public static TargetClientSettings defaults(InetSocketAddress address) {
        return new TargetClientSettings(
                address,
                Duration.ofSeconds(1),
                DEFAULT_MAX_CONNECTIONS,
                DEFAULT_MAX_HEADER_BYTES,
                Duration.ofSeconds(4));
    }

    /** Returns these settings with another bound on connections. */
    public TargetClientSettings withMaxConnections(int connections) {
        return new TargetClientSettings(
                address, connectTimeout, connections, maxHeaderBytes, idleTimeout);
    }
}
