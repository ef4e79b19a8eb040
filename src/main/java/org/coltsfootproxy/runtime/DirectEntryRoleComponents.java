package org.coltsfootproxy.runtime;

import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.config.ClientLimits;
import org.coltsfootproxy.config.ConfigView;
import org.coltsfootproxy.config.Regions;
import org.coltsfootproxy.direct.DirectEntryNode;
import org.coltsfootproxy.entry.EntrySettings;
import org.coltsfootproxy.membership.PeerAddresses;
import org.coltsfootproxy.message.FleetRole;
import org.coltsfootproxy.net.FleetTargetClient;
import org.coltsfootproxy.net.HttpFront;
import org.coltsfootproxy.net.InputSink;
import org.coltsfootproxy.net.NetEvents;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.node.Node;
import org.coltsfootproxy.platform.PlatformCallerProtocol;
import org.coltsfootproxy.platform.PlatformTargetProtocol;

/** The components of a direct entry host, which calls targets itself without agents. */
final class DirectEntryRoleComponents implements Role {
    private final Incarnation mIncarnation;
    private final DirectEntryNode mNode;
    private final HttpFront mFront;
    private final FleetTargetClient mTargets;
    private volatile ClientLimits mClientLimits = ClientLimits.NONE;
    private long mLimitsVersion;

    private DirectEntryRoleComponents(
            Incarnation incarnation,
            DirectEntryNode node,
            HttpFront front,
            FleetTargetClient targets) {
        mIncarnation = incarnation;
        mNode = node;
        mFront = front;
        mTargets = targets;
    }

    static DirectEntryRoleComponents create(
            Settings settings, InputSink toNode, NetEvents events, Random random) {
        Settings.DirectEntryRole role = settings.directEntry().orElseThrow();
        Settings.Fleet fleet = settings.fleet().orElseThrow();
        PeerAddresses addresses = FleetSettings.addresses(settings);
        PlatformTargetProtocol protocol = new PlatformTargetProtocol();
        DirectEntryNode node =
                DirectEntryNode.create(
                        EntrySettings.of(settings.host(), settings.dataCentre())
                                .withDirect(
                                        new EntrySettings.Direct(
                                                Regions.of(settings.regions()),
                                                fleet.evacuations(),
                                                role.contention()))
                                .withStopLimit(TimeUnit.SECONDS.toNanos(settings.stopSeconds())),
                        new DirectEntryNode.Protocols(new PlatformCallerProtocol(), protocol),
                        addresses,
                        FleetSettings.subscriber(settings, fleet, random),
                        FleetSettings.membership(settings, fleet, FleetRole.ENTRY),
                        random);
        node.routeBy(role.routing());
        HttpFront front =
                HttpFront.create(
                        HostProcess.callerSettings(settings, role.callerAddress())
                                .withMaxBodyBytes(role.maxBodyBytes())
                                .withThreads(1),
                        toNode,
                        events);
        var components =
                new DirectEntryRoleComponents(
                        Role.newIncarnation(random),
                        node,
                        front,
                        TargetClients.create(protocol, toNode, events));
        front.limitRequestsBy(() -> components.mClientLimits);
        return components;
    }

    @Override
    public void observe(Input input) {
        ConfigView view = mNode.view();
        if (view.version() != mLimitsVersion) {
            mLimitsVersion = view.version();
            mClientLimits = view.clientLimits();
        }
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
    public boolean isReady() {
        return mNode.isReady();
    }

    @Override
    public Optional<HttpFront> front() {
        return Optional.of(mFront);
    }

    @Override
    public Optional<FleetTargetClient> targets() {
        return Optional.of(mTargets);
    }

    @Override
    public void start() throws ProxyException {
        mFront.start();
    }

    @Override
    public void close() {
        mFront.close();
        mTargets.close();
    }
}
