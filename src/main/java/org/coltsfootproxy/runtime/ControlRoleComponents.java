package org.coltsfootproxy.runtime;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.config.ConfigTiming;
import org.coltsfootproxy.consensus.RecoveredState;
import org.coltsfootproxy.control.ControlNode;
import org.coltsfootproxy.control.ControlSettings;
import org.coltsfootproxy.control.SeedFleetSettings;
import org.coltsfootproxy.job.EpochClock;
import org.coltsfootproxy.job.JobSettings;
import org.coltsfootproxy.net.FleetTargetClient;
import org.coltsfootproxy.net.InputSink;
import org.coltsfootproxy.net.NetEvents;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.node.Node;
import org.coltsfootproxy.platform.PlatformOperatorProtocol;
import org.coltsfootproxy.platform.PlatformTargetListProtocol;
import org.coltsfootproxy.platform.PlatformTargetProtocol;
import org.coltsfootproxy.storage.DataFolder;
import org.coltsfootproxy.storage.FileDisk;
import org.coltsfootproxy.storage.LogStore;

/**
 * The components of a control host, which replicates the configuration log and, unless the fleet
 * has seeds, the logs of batch jobs.
 */
final class ControlRoleComponents implements Role {
    private final DataFolder mFolder;
    private final Node mNode;
    private final DiskWriter mDiskWriter;
    private final Optional<FleetTargetClient> mTargets;

    private ControlRoleComponents(
            DataFolder folder, Node node, DiskWriter disk, Optional<FleetTargetClient> targets) {
        mFolder = folder;
        mNode = node;
        mDiskWriter = disk;
        mTargets = targets;
    }

    static ControlRoleComponents create(
            Settings settings,
            InputSink toNode,
            Consumer<Input> blockingToNode,
            NetEvents events,
            Random random)
            throws ProxyException {
        Settings.ControlRole role = settings.controlRole().orElseThrow();
        DataFolder folder = DataFolder.open(FileDisk.open(role.dataFolder()), random);
        ControlSettings control = controlSettings(settings, role, folder.incarnation());
        Map<Integer, LogStore> stores = new HashMap<>();
        List<RecoveredState> recovered = new ArrayList<>();
        for (int group = 0; group < control.groups(); group++) {
            LogStore store = folder.openGroup(group);
            stores.put(group, store);
            recovered.add(store.recovered());
        }
        EpochClock clock = EpochClock.of(System.nanoTime(), System.currentTimeMillis());
        Optional<SeedFleetSettings> fleet =
                settings.fleet().map(f -> seedFleetSettings(settings, f, role));
        Node node = ControlNode.create(control, recovered, clock, random, fleet);
        DiskWriter disk = DiskWriter.create(settings.host() + "-disk", stores, blockingToNode);
        Optional<FleetTargetClient> targets =
                fleet.map(
                        fleetSettings ->
                                TargetClients.create(fleetSettings.targets(), toNode, events));
        return new ControlRoleComponents(folder, node, disk, targets);
    }

    private static SeedFleetSettings seedFleetSettings(
            Settings settings, Settings.Fleet fleet, Settings.ControlRole role) {
        return new SeedFleetSettings(
                fleet.seedHosts(),
                fleet.firstStart(),
                FleetSettings.voters(fleet),
                FleetSettings.addresses(settings),
                role.targetList().orElseThrow(),
                new PlatformOperatorProtocol(),
                new PlatformTargetProtocol(),
                new PlatformTargetListProtocol());
    }

    private static ControlSettings controlSettings(
            Settings settings, Settings.ControlRole role, Incarnation incarnation) {
        return new ControlSettings(
                settings.host(),
                settings.dataCentre(),
                incarnation,
                settings.fleet()
                        .map(f -> FleetSettings.addresses(settings).controlHosts(f.seedHosts()))
                        .orElseGet(() -> Role.controlHosts(settings)),
                settings.fleet().map(FleetSettings::timing).orElse(ConfigTiming.DEFAULT),
                role.operatorKeyDigest(),
                settings.fleet().isPresent() ? 1 : settings.jobGroups(),
                role.replaceEmpty(),
                settings.fleet().isPresent() ? JobSettings.forStores() : JobSettings.defaults());
    }

    @Override
    public Node node() {
        return mNode;
    }

    @Override
    public Incarnation incarnation() {
        return mFolder.incarnation();
    }

    @Override
    public boolean handlesOperatorCalls() {
        return true;
    }

    @Override
    public Optional<DiskWriter> disk() {
        return Optional.of(mDiskWriter);
    }

    @Override
    public Optional<FleetTargetClient> targets() {
        return mTargets;
    }

    @Override
    public void start() {
        mDiskWriter.start();
    }

    @Override
    public void close() throws InterruptedException {
        mTargets.ifPresent(FleetTargetClient::close);
        mDiskWriter.stop();
        mFolder.close();
    }
}
