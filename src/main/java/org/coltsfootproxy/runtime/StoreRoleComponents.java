package org.coltsfootproxy.runtime;

import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.config.Regions;
import org.coltsfootproxy.control.StoreNode;
import org.coltsfootproxy.control.StoreSettings;
import org.coltsfootproxy.job.EpochClock;
import org.coltsfootproxy.job.JobSettings;
import org.coltsfootproxy.message.FleetRole;
import org.coltsfootproxy.net.FleetTargetClient;
import org.coltsfootproxy.net.InputSink;
import org.coltsfootproxy.net.NetEvents;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.node.Node;
import org.coltsfootproxy.platform.PlatformTargetProtocol;
import org.coltsfootproxy.storage.DataFolder;
import org.coltsfootproxy.storage.FileDisk;
import org.coltsfootproxy.storage.LogStore;

/** The components of a store host, which keeps and runs batch jobs in a fleet with seeds. */
final class StoreRoleComponents implements Role {
    private final DataFolder mFolder;
    private final Node mNode;
    private final DiskWriter mDiskWriter;
    private final FleetTargetClient mTargets;

    private StoreRoleComponents(
            DataFolder folder, Node node, DiskWriter disk, FleetTargetClient targets) {
        mFolder = folder;
        mNode = node;
        mDiskWriter = disk;
        mTargets = targets;
    }

    static StoreRoleComponents create(
            Settings settings,
            InputSink toNode,
            Consumer<Input> blockingToNode,
            NetEvents events,
            Random random)
            throws ProxyException {
        Settings.Fleet fleet = settings.fleet().orElseThrow();
        Settings.StoreRole role = settings.storeRole().orElseThrow();
        DataFolder folder = DataFolder.open(FileDisk.open(role.dataFolder()), random);
        LogStore store = folder.openGroup(StoreNode.JOBS_GROUP);
        PlatformTargetProtocol protocol = new PlatformTargetProtocol();
        StoreNode node =
                StoreNode.create(
                        new StoreSettings(
                                settings.host(),
                                settings.dataCentre(),
                                folder.incarnation(),
                                FleetSettings.voters(fleet),
                                FleetSettings.addresses(settings),
                                protocol,
                                JobSettings.forStores(),
                                Regions.of(settings.regions()),
                                fleet.evacuations()),
                        store.recovered(),
                        FleetSettings.subscriber(settings, fleet, random),
                        FleetSettings.membership(settings, fleet, FleetRole.STORE),
                        EpochClock.of(System.nanoTime(), System.currentTimeMillis()),
                        random);
        DiskWriter disk =
                DiskWriter.create(
                        settings.host() + "-disk",
                        Map.of(StoreNode.JOBS_GROUP, store),
                        blockingToNode);
        FleetTargetClient targets = TargetClients.create(protocol, toNode, events);
        return new StoreRoleComponents(folder, node, disk, targets);
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
    public Optional<DiskWriter> disk() {
        return Optional.of(mDiskWriter);
    }

    @Override
    public Optional<FleetTargetClient> targets() {
        return Optional.of(mTargets);
    }

    @Override
    public void start() {
        mDiskWriter.start();
    }

    @Override
    public void close() throws InterruptedException {
        mTargets.close();
        mDiskWriter.stop();
        mFolder.close();
    }
}
