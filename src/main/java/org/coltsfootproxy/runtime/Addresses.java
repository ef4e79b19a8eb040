package org.coltsfootproxy.runtime;

import com.google.common.net.HostAndPort;
import com.google.common.net.InetAddresses;
import java.net.InetSocketAddress;

/** Parses addresses that consist of an IP address and a port, such as {@code 10.1.2.3:7000}. */
public final class Addresses {
    private static final int MAX_PORT = 65_535;

    private Addresses() {}

    /** Returns whether {@code text} is an IP address with a port. */
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

    /** Returns the socket address for a text that {@link #isValid} accepts. */
    public static InetSocketAddress parse(String text) {
        HostAndPort parsed = HostAndPort.fromString(text);
        return new InetSocketAddress(InetAddresses.forString(parsed.getHost()), parsed.getPort());
    }
}
