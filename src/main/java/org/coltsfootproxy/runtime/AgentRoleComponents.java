package org.coltsfootproxy.runtime;

import java.util.Optional;
import java.util.Random;
import org.coltsfootproxy.admission.AdmissionQueue;
import org.coltsfootproxy.admission.AdmissionSettings;
import org.coltsfootproxy.agent.AgentNode;
import org.coltsfootproxy.agent.AgentSettings;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.net.InputSink;
import org.coltsfootproxy.net.NetEvents;
import org.coltsfootproxy.net.TargetClient;
import org.coltsfootproxy.net.TargetClientSettings;
import org.coltsfootproxy.node.Node;

/** The components of an agent host, which queues requests for the one target beside it. */
final class AgentRoleComponents implements Role {
    /** Concurrent requests to the target until the configuration states the service's limit. */
    private static final int INITIAL_CONCURRENCY = 1;

    private final Incarnation mIncarnation;
    private final Node mNode;
    private final TargetClient mTarget;

    private AgentRoleComponents(Incarnation incarnation, Node node, TargetClient target) {
        mIncarnation = incarnation;
        mNode = node;
        mTarget = target;
    }

    static AgentRoleComponents create(
            Settings settings, InputSink toNode, NetEvents events, Random random) {
        Settings.AgentRole role = settings.agent().orElseThrow();
        Incarnation incarnation = Role.newIncarnation(random);
        AgentNode node =
                AgentNode.create(
                        new AgentSettings(
                                settings.host(), incarnation, role.service(), settings.jobGroups()),
                        Role.subscriber(settings, random),
                        queue(role),
                        settings.control().stream().map(Settings.Peer::host).toList());
        TargetClientSettings target = TargetClientSettings.defaults(Addresses.parse(role.target()));
        return new AgentRoleComponents(
                incarnation, node, TargetClient.create(target, toNode, events));
    }

    private static AdmissionQueue queue(Settings.AgentRole role) {
        AdmissionSettings admissionSettings = AdmissionSettings.of(INITIAL_CONCURRENCY);
        return switch (role.queue()) {
            case FAIR -> AdmissionQueue.fair(admissionSettings);
            case FIFO -> AdmissionQueue.fifo(admissionSettings);
        };
    }

    @Override
    public Node node() {
        return mNode;
    }

    @Override
    public Incarnation incarnation() {
        return mIncarnation;
    }

    @Override
    public Optional<TargetClient> target() {
        return Optional.of(mTarget);
    }

    @Override
    public void start() {
        // The target client connects on the first call.
    }

    @Override
    public void close() {
        mTarget.close();
    }
}
