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

/** The role-specific components of a host: its node, and the sockets and disk that it needs. */
interface Role {
    /**
     * Creates the components of the role that the settings name.
     *
     * @param toNode queues an input for the node without waiting; refuses it while the ring is full
     * @param blockingToNode queues an input for the node, waiting while the ring is full
     */
    static Role create(
            Settings settings,
            InputSink toNode,
            Consumer<Input> blockingToNode,
            NetEvents events,
            Random random)
            throws ProxyException {
        if (settings.entry().isPresent()) {
            return EntryRoleComponents.create(settings, toNode, events, random);
        }
        if (settings.directEntry().isPresent()) {
            return DirectEntryRoleComponents.create(settings, toNode, events, random);
        }
        if (settings.storeRole().isPresent()) {
            return StoreRoleComponents.create(settings, toNode, blockingToNode, events, random);
        }
        if (settings.agent().isPresent()) {
            return AgentRoleComponents.create(settings, toNode, events, random);
        }
        return ControlRoleComponents.create(settings, toNode, blockingToNode, events, random);
    }

    /** Returns the node, which makes the role's decisions. */
    Node node();

    /** Returns the host's incarnation, which survives restarts if the role has a data folder. */
    Incarnation incarnation();

    /** Returns whether the node answers operators' HTTP calls. */
    default boolean handlesOperatorCalls() {
        return false;
    }

    /** Returns the HTTP server for callers. */
    default Optional<HttpFront> front() {
        return Optional.empty();
    }

    /** Returns the client of the targets that the platform lists. */
    default Optional<FleetTargetClient> targets() {
        return Optional.empty();
    }

    /** Returns whether the host accepts new work. Safe to call from any thread. */
    default boolean isReady() {
        return true;
    }

    /** Returns the client of the one target beside an agent. */
    default Optional<TargetClient> target() {
        return Optional.empty();
    }

    /** Returns the writer of the node's durable state. */
    default Optional<DiskWriter> disk() {
        return Optional.empty();
    }

    /** Called on the node's thread with each input before the node handles it. */
    default void observe(Input input) {
        disk().ifPresent(disk -> disk.observe(input));
    }

    /** Opens the role's server socket and starts its threads. */
    void start() throws ProxyException;

    /** Closes the role's sockets and files and stops its threads. */
    void close() throws InterruptedException;

    /** Returns the control hosts that the settings list. */
    static List<ControlHost> controlHosts(Settings settings) {
        return peers(settings.control());
    }

    /** Converts hosts of the settings to hosts with peer addresses. */
    static List<ControlHost> peers(List<Settings.Peer> peers) {
        return peers.stream()
                .map(p -> ControlHost.of(p.host(), p.dataCentre(), p.address()))
                .toList();
    }

    /** Returns a configuration subscriber of the control hosts that the settings list. */
    static ConfigSubscriber subscriber(Settings settings, Random random) {
        return ConfigSubscriber.create(
                settings.dataCentre(),
                controlHosts(settings),
                ConfigTiming.DEFAULT,
                new Random(random.nextLong()));
    }

    /** Returns a random incarnation for a host that stores none on disk. */
    static Incarnation newIncarnation(Random random) {
        return Incarnation.of(random.nextLong() | 1);
    }
}
