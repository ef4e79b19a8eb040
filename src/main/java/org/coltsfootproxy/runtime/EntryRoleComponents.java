package org.coltsfootproxy.runtime;

import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.entry.EntryNode;
import org.coltsfootproxy.entry.EntryPolicies;
import org.coltsfootproxy.entry.EntrySettings;
import org.coltsfootproxy.entry.LimitOwnership;
import org.coltsfootproxy.job.EpochClock;
import org.coltsfootproxy.job.JobGateway;
import org.coltsfootproxy.limit.FixedShareLimiter;
import org.coltsfootproxy.limit.GrantLimiter;
import org.coltsfootproxy.limit.LimitSettings;
import org.coltsfootproxy.limit.Limiter;
import org.coltsfootproxy.net.HttpFront;
import org.coltsfootproxy.net.InputSink;
import org.coltsfootproxy.net.NetEvents;
import org.coltsfootproxy.node.Node;
import org.coltsfootproxy.routing.AgentChooser;
import org.coltsfootproxy.routing.ChooserSettings;

/** The components of an entry host, which forwards callers' requests to agents. */
final class EntryRoleComponents implements Role {
    private final Incarnation mIncarnation;
    private final Node mNode;
    private final HttpFront mFront;

    private EntryRoleComponents(Incarnation incarnation, Node node, HttpFront front) {
        mIncarnation = incarnation;
        mNode = node;
        mFront = front;
    }

    static EntryRoleComponents create(
            Settings settings, InputSink toNode, NetEvents events, Random random) {
        Settings.EntryRole role = settings.entry().orElseThrow();
        Incarnation incarnation = Role.newIncarnation(random);
        EntryNode node =
                EntryNode.create(
                        EntrySettings.of(settings.host(), settings.dataCentre())
                                .withStopLimit(TimeUnit.SECONDS.toNanos(settings.stopSeconds())),
                        Role.subscriber(settings, random),
                        policies(settings, role, incarnation, random),
                        jobGateway(settings, random),
                        random);
        HttpFront front =
                HttpFront.create(
                        HostProcess.callerSettings(settings, role.callerAddress())
                                .withMaxBodyBytes(role.maxBodyBytes()),
                        toNode,
                        events);
        return new EntryRoleComponents(incarnation, node, front);
    }

    private static JobGateway jobGateway(Settings settings, Random random) {
        return JobGateway.create(
                settings.control().stream().map(Settings.Peer::host).toList(),
                settings.jobGroups(),
                random.nextLong(),
                EpochClock.of(System.nanoTime(), System.currentTimeMillis()));
    }

    private static EntryPolicies policies(
            Settings settings, Settings.EntryRole role, Incarnation incarnation, Random random) {
        LimitOwnership ownership =
                role.limits() == Settings.LimitMode.FIXED
                        ? LimitOwnership.none(settings.host())
                        : LimitOwnership.create(
                                settings.host(),
                                incarnation,
                                Role.peers(role.entries()),
                                settings.control().stream().map(Settings.Peer::host).toList(),
                                random);
        return new EntryPolicies(
                () -> chooser(settings, role, random),
                listener -> limiter(settings, role, incarnation, ownership, listener),
                ownership);
    }

    private static AgentChooser chooser(Settings settings, Settings.EntryRole role, Random random) {
        return switch (role.routing()) {
            case ROUND_ROBIN -> AgentChooser.roundRobin();
            case ADAPTIVE ->
                    AgentChooser.leastLoaded(
                            settings.host(),
                            settings.dataCentre(),
                            ChooserSettings.defaults(),
                            new Random(random.nextLong()));
        };
    }

    private static Limiter limiter(
            Settings settings,
            Settings.EntryRole role,
            Incarnation incarnation,
            LimitOwnership ownership,
            Limiter.Listener listener) {
        HostId self = settings.host();
        long incarnationNumber = incarnation.value();
        LimitSettings leased = LimitSettings.defaults();
        int entries = role.entries().size();
        return switch (role.limits()) {
            case FIXED -> FixedShareLimiter.create(() -> entries);
            case ASK ->
                    GrantLimiter.create(
                            self, incarnationNumber, leased.withoutPrefetch(), ownership, listener);
            case LEASED ->
                    GrantLimiter.create(self, incarnationNumber, leased, ownership, listener);
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
    public Optional<HttpFront> front() {
        return Optional.of(mFront);
    }

    @Override
    public void start() throws ProxyException {
        mFront.start();
    }

    @Override
    public void close() {
        mFront.close();
    }
}
