package org.coltsfootproxy.runtime;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.config.ConfigSubscriber;
import org.coltsfootproxy.config.ConfigTiming;
import org.coltsfootproxy.config.ControlHost;
import org.coltsfootproxy.net.FleetTargetClient;
import org.coltsfootproxy.net.HttpFront;
import org.coltsfootproxy.net.InputSink;
import org.coltsfootproxy.net.NetEvents;
import org.coltsfootproxy.net.TargetClient;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.node.Node;

/** What a role adds to a host: its node, and the sockets or disk that only this role has. */
interface Role {
    /** Returns the role that the settings name. */
    static Role create(
            Settings settings,
            InputSink toNode,
            Consumer<Input> waitingToNode,
            NetEvents events,
            Random random)
            throws ProxyException {
        if (settings.entry().isPresent()) {
            return EntryRoleParts.create(settings, toNode, events, random);
        }
        if (settings.directEntry().isPresent()) {
            return DirectEntryRoleParts.create(settings, toNode, events, random);
        }
        if (settings.storeRole().isPresent()) {
            return StoreRoleParts.create(settings, toNode, waitingToNode, events, random);
        }
        if (settings.agent().isPresent()) {
            return AgentRoleParts.create(settings, toNode, events, random);
        }
        return ControlRoleParts.create(settings, toNode, waitingToNode, events, random);
    }

    /** Returns the decisions of the role. */
    Node node();

    /** Returns this life of the host. */
    Incarnation incarnation();

    /** Tells whether the node answers operators' calls. */
    default boolean takesOperators() {
        return false;
    }

    /** Returns the server for callers. */
    default Optional<HttpFront> front() {
        return Optional.empty();
    }

    /** Returns the client of the targets that the platform lists. */
    default Optional<FleetTargetClient> targets() {
        return Optional.empty();
    }

    /** Tells whether the host takes new work; safe for use by any thread. */
    default boolean isReady() {
        return true;
    }

    /** Returns the client of the target. */
    default Optional<TargetClient> target() {
        return Optional.empty();
    }

    /** Returns the duty that writes to the disk. */
    default Optional<DiskDuty> disk() {
        return Optional.empty();
    }

    /** Shown each input before the node handles it. */
    default void observe(Input input) {
        disk().ifPresent(disk -> disk.observe(input));
    }

    /** Starts the role's sockets and duties. */
    void start() throws ProxyException;

    /** Closes the role's sockets and duties. */
    void close() throws InterruptedException;

    /** Returns the control hosts of the settings. */
    static List<ControlHost> controlHosts(Settings settings) {
        return peers(settings.control());
    }

    /** Returns hosts of the settings with their addresses. */
    static List<ControlHost> peers(List<Settings.Peer> peers) {
        return peers.stream()
                .map(p -> ControlHost.of(p.host(), p.dataCentre(), p.address()))
                .toList();
    }

    /** Returns a subscriber to the control hosts of the settings. */
    static ConfigSubscriber subscriber(Settings settings, Random random) {
        return ConfigSubscriber.create(
                settings.dataCentre(),
                controlHosts(settings),
                ConfigTiming.DEFAULT,
                new Random(random.nextLong()));
    }

    /** Returns the incarnation of a host without a disk. */
    static Incarnation newIncarnation(Random random) {
        return Incarnation.of(random.nextLong() | 1);
    }
}
