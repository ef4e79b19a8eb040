package org.coltsfootproxy.net;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.net.InetSocketAddress;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;

/**
 * Settings of a {@link PeerTransport}.
 *
 * @param host this host
 * @param incarnation this life of the host
 * @param address where to listen; port 0 lets the system choose
 * @param secret the secret that all hosts of the fleet share, at least 16 bytes
 * @param maxFrameBytes most bytes of one message
 * @param maxUnsentBytes most bytes that wait for one peer in one lane
 */
public record PeerSettings(
        HostId host,
        Incarnation incarnation,
        InetSocketAddress address,
        byte[] secret,
        int maxFrameBytes,
        long maxUnsentBytes) {
    /** Fewest bytes of a secret. */
    public static final int MIN_SECRET_BYTES = 16;

    private static final int DEFAULT_MAX_FRAME_BYTES = 16 << 20;
    private static final long DEFAULT_MAX_UNSENT_BYTES = 32L << 20;

    /** Checks the components. */
    public PeerSettings {
        checkNotNull(host, "host");
        checkNotNull(incarnation, "incarnation");
        checkNotNull(address, "address");
        checkArgument(
                secret.length >= MIN_SECRET_BYTES,
                "the fleet secret has %s bytes, at least %s are needed",
                secret.length,
                MIN_SECRET_BYTES);
        checkArgument(maxFrameBytes > 0, "maxFrameBytes %s is not positive", maxFrameBytes);
        checkArgument(maxUnsentBytes > 0, "maxUnsentBytes %s is not positive", maxUnsentBytes);
        secret = secret.clone();
    }

    /** Returns the default settings. */
    public static PeerSettings defaults(
            HostId host, Incarnation incarnation, InetSocketAddress address, byte[] secret) {
        return new PeerSettings(
                host,
                incarnation,
                address,
                secret,
                DEFAULT_MAX_FRAME_BYTES,
                DEFAULT_MAX_UNSENT_BYTES);
    }

    /** Returns these settings with other bounds. */
    public PeerSettings withBounds(int frameBytes, long unsentBytes) {
        return new PeerSettings(host, incarnation, address, secret, frameBytes, unsentBytes);
    }
}
