package org.coltsfootproxy.runtime;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Optional;
import org.coltsfootproxy.direct.TargetProtocol;
import org.coltsfootproxy.net.FleetTargetClient;
import org.coltsfootproxy.net.InputSink;
import org.coltsfootproxy.net.NetEvents;
import org.coltsfootproxy.net.TargetClientSettings;
import org.coltsfootproxy.net.TargetDialect;

/** Creates the client of the targets that the platform lists. */
final class TargetClients {
    /** Connect timeout; the network latency to any target is a few milliseconds. */
    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(150);

    /** How long an idle connection is kept if the target states no keep-alive time. */
    private static final Duration IDLE_TIMEOUT = Duration.ofMillis(400);

    private TargetClients() {}

    static FleetTargetClient create(TargetProtocol protocol, InputSink sink, NetEvents events) {
        TargetDialect dialect =
                new TargetDialect(
                        Optional.of(protocol.correlationHeader()),
                        Optional.of(protocol.timeLeftHeader()),
                        true,
                        true);
        TargetClientSettings settings =
                TargetClientSettings.defaults(new InetSocketAddress(0))
                        .withTimeouts(CONNECT_TIMEOUT, IDLE_TIMEOUT)
                        .withDialect(dialect);
        return FleetTargetClient.create(settings, sink, events);
    }
}
