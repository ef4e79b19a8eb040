package org.coltsfootproxy.net;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.OptionalInt;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;

/**
 * Settings of a {@link PeerTransport}.
 *
 * @param host this host
 * @param incarnation this host's incarnation
 * @param address address to listen on; port 0 selects a free port
 * @param secret secret shared by all hosts of the fleet, at least {@link #MIN_SECRET_BYTES} long
 * @param maxFrameBytes maximum size of an encoded message
 * @param maxUnsentBytes maximum size of the messages that wait for one peer in one lane
 * @param maxUnproven maximum number of accepted connections whose other side has not proved yet
 *     that it knows the secret
 * @param fleetPort port of all peers, in a fleet whose host names are IP addresses
 */
public record PeerSettings(
        HostId host,
        Incarnation incarnation,
        InetSocketAddress address,
        byte[] secret,
        int maxFrameBytes,
        long maxUnsentBytes,
        int maxUnproven,
        OptionalInt fleetPort) {
    /** Minimum size of a secret, in bytes. */
    public static final int MIN_SECRET_BYTES = 16;

    private static final int DEFAULT_MAX_FRAME_BYTES = 16 << 20;
    private static final long DEFAULT_MAX_UNSENT_BYTES = 32L << 20;
    private static final int DEFAULT_MAX_UNPROVEN = 256;

    /** Checks the components and copies the secret. */
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
                DEFAULT_MAX_UNSENT_BYTES,
                DEFAULT_MAX_UNPROVEN,
                OptionalInt.empty());
    }

    /** Returns these settings with other size limits. */
    public PeerSettings withBounds(int frameBytes, long unsentBytes) {
        return new PeerSettings(
                host,
                incarnation,
                address,
                secret,
                frameBytes,
                unsentBytes,
                maxUnproven,
                fleetPort);
    }

    /** Returns these settings for a fleet whose host names are IP addresses and share a port. */
    public PeerSettings withFleetPort(int port) {
        return new PeerSettings(
                host,
                incarnation,
                address,
                secret,
                maxFrameBytes,
                maxUnsentBytes,
                maxUnproven,
                OptionalInt.of(port));
    }

    /** Returns these settings with another limit on connections without proof. */
    public PeerSettings withMaxUnproven(int connections) {
        return new PeerSettings(
                host,
                incarnation,
                address,
                secret,
                maxFrameBytes,
                maxUnsentBytes,
                connections,
                fleetPort);
    }

    /**
     * Returns the address that consists of a host's name and the fleet port, or empty without a
     * fleet port or if the name is not an IP address.
     */
    Optional<InetSocketAddress> addressOf(HostId other) {
        boolean isKnown = fleetPort.isPresent() && InetAddresses.isInetAddress(other.value());
        return isKnown
                ? Optional.of(
                        new InetSocketAddress(
                                InetAddresses.forString(other.value()), fleetPort.getAsInt()))
                : Optional.empty();
    }
}
