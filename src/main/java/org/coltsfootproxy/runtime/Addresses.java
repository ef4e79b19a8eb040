package org.coltsfootproxy.runtime;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;

/** Addresses made of an IP number and a port. */
public final class Addresses {
    private static final int MAX_PORT = 65_535;

    private Addresses() {}

    /** Tells whether {@code text} is an IP number with a port. */
    public static boolean isValid(String text) {
        try {
            HostAndPort parsed = HostAndPort.fromString(text);
            return parsed.hasPort()
                    && parsed.getPort() <= MAX_PORT
                    && InetAddresses.isInetAddress(parsed.getHost());
        } catch (IllegalArgumentException e) {
            return false;
        }
    }

    /** Returns the socket address of a valid address. */
    public static InetSocketAddress parse(String text) {
        HostAndPort parsed = HostAndPort.fromString(text);
        return new InetSocketAddress(InetAddresses.forString(parsed.getHost()), parsed.getPort());
    }
}
