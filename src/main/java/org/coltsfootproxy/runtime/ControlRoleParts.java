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
import org.coltsfootproxy.job.EpochClock;
import org.coltsfootproxy.job.JobSettings;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.node.Node;
import org.coltsfootproxy.storage.DataFolder;
import org.coltsfootproxy.storage.FileDisk;
import org.coltsfootproxy.storage.LogStore;

/** The parts of a control host. */
final class ControlRoleParts implements Role {
    private final DataFolder mFolder;
    private final Node mNode;
    private final DiskDuty mDisk;

    private ControlRoleParts(DataFolder folder, Node node, DiskDuty disk) {
        mFolder = folder;
        mNode = node;
        mDisk = disk;
    }

    static ControlRoleParts create(Settings settings, Consumer<Input> toNode, Random random)
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
        Node node = ControlNode.create(control, recovered, clock, random);
        DiskDuty disk = DiskDuty.create(settings.host() + "-disk", stores, toNode);
        return new ControlRoleParts(folder, node, disk);
    }

    private static ControlSettings controlSettings(
            Settings settings, Settings.ControlRole role, Incarnation incarnation) {
        return new ControlSettings(
                settings.host(),
                settings.dataCentre(),
                incarnation,
                Role.controlHosts(settings),
                ConfigTiming.DEFAULT,
                role.operatorKeyDigest(),
                settings.jobGroups(),
                role.replaceEmpty(),
                JobSettings.defaults());
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
    public boolean takesOperators() {
        return true;
    }

    @Override
    public Optional<DiskDuty> disk() {
        return Optional.of(mDisk);
    }

    @Override
    public void start() {
        mDisk.start();
    }

    @Override
    public void close() throws InterruptedException {
        mDisk.stop();
        mFolder.close();
    }
}
