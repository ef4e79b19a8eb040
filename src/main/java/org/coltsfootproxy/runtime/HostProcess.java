package org.coltsfootproxy.runtime;

import static com.google.common.base.Preconditions.checkNotNull;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.Metric;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.net.HttpFront;
import org.coltsfootproxy.net.HttpFrontSettings;
import org.coltsfootproxy.net.InputSink;
import org.coltsfootproxy.net.NetEvents;
import org.coltsfootproxy.net.PeerSettings;
import org.coltsfootproxy.net.PeerTransport;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.node.LogField;
import org.coltsfootproxy.node.Node;

/**
 * One host of the system: a node's decisions with the duties around them.
 *
 * <p>A host has one role; a process may hold several hosts.
 */
public final class HostProcess {
    /** Largest configuration that operators may put as one document. */
    private static final int MAX_DOCUMENT_BYTES = 8 << 20;

    private volatile Settings mSettings;
    private final EventLog mLog;
    private final Metrics mMetrics = Metrics.create();
    private final SocketEvents mEvents;
    private final PeerTransport mPeers;
    private final HttpFront mAdmin;
    private final Role mRole;
    private final NodeDuty mDuty;
    private final Optional<HostListDuty> mHostList;
    private volatile boolean mReady;
    private volatile SettingsWatch mWatch;

    /** Reports what happens to sockets. */
    private final class SocketEvents implements NetEvents {
        @Override
        public void log(EventCode code, String detail) {
            mLog.write(code, detail);
        }

        @Override
        public void count(Metric metric, String label) {
            mMetrics.record(metric, "", label, 1);
        }
    }

    private HostProcess(Settings settings) throws ProxyException {
        mSettings = checkNotNull(settings, "settings");
        mLog = EventLog.of(settings.host().value());
        mEvents = new SocketEvents();
        InputSink toNode = this::offer;
        Random random = new Random(new SecureRandom().nextLong());
        mRole = Role.create(settings, toNode, this::put, mEvents, random);
        mPeers = PeerTransport.create(peerSettings(mRole.incarnation()), toNode, mEvents);
        AdminSink adminSink =
                AdminSink.create(
                        mMetrics,
                        () -> mReady && mRole.isReady(),
                        this::admin,
                        mRole.takesOperators() ? toNode : null);
        mAdmin = HttpFront.create(adminSettings(settings), adminSink, mEvents);
        EffectRouter effects =
                EffectRouter.create(
                        mPeers,
                        mLog,
                        mMetrics,
                        mRole.takesOperators() ? mAdmin : mRole.front().orElse(null),
                        mRole.target().orElse(null),
                        mRole.disk().orElse(null),
                        mRole.targets().orElse(null));
        Node node = mRole.node();
        mDuty = NodeDuty.create(settings.host() + "-decisions", node, effects, mRole::observe);
        mHostList =
                settings.hostList()
                        .map(HostListDuty::listAt)
                        .map(list -> HostListDuty.create(settings.host().value(), list, toNode));
    }

    /**
     * Starts the host that the settings describe.
     *
     * @throws ProxyException if an address can't be used or the data folder is damaged
     */
    public static HostProcess start(Settings settings) throws ProxyException {
        HostProcess process = new HostProcess(settings);
        process.start();
        return process;
    }

    private HttpFront admin() {
        return mAdmin;
    }

    private boolean offer(Input input) {
        if (mDuty.offer(input)) {
            return true;
        }
        mMetrics.record(Metric.RING_FULL, "", "", 1);
        return false;
    }

    private void put(Input input) {
        mDuty.put(input);
    }

    private PeerSettings peerSettings(Incarnation incarnation) {
        InetSocketAddress address = Addresses.parse(mSettings.peerAddress());
        PeerSettings defaults =
                PeerSettings.defaults(
                        mSettings.host(),
                        incarnation,
                        address,
                        mSettings.fleetSecret().getBytes(StandardCharsets.UTF_8));
        return mSettings.fleet().isPresent() ? defaults.withFleetPort(address.getPort()) : defaults;
    }

    private static HttpFrontSettings adminSettings(Settings settings) {
        HttpFrontSettings usual = frontSettings(settings.adminAddress());
        return settings.fleet().isPresent()
                ? usual.withMaxBodyBytes(MAX_DOCUMENT_BYTES).withThreads(1)
                : usual;
    }

    static HttpFrontSettings frontSettings(String address) {
        return HttpFrontSettings.defaults(Addresses.parse(address));
    }

    private void start() throws ProxyException {
        mRole.start();
        mDuty.start();
        mHostList.ifPresent(HostListDuty::start);
        mPeers.start();
        InetSocketAddress admin = mAdmin.start();
        mReady = true;
        mLog.write(
                EventCode.PROCESS_STARTED,
                List.of(
                        LogField.of("dataCentre", mSettings.dataCentre()),
                        LogField.of("peers", mSettings.peerAddress()),
                        LogField.of("admin", admin),
                        LogField.of("incarnation", mRole.incarnation()),
                        LogField.of("fleet", mSettings.fleet().map(Object::toString).orElse(""))));
    }

    /**
     * Follows changes of the file that holds the settings.
     *
     * @throws ProxyException if the file can't be read
     */
    public void watch(Path file) throws ProxyException {
        mWatch = SettingsWatch.create(file, mLog, this::reload);
        mWatch.start();
    }

    /** Has the settings file read again at once, if it is followed. */
    public void readSettingsAgain() {
        Optional.ofNullable(mWatch).ifPresent(SettingsWatch::look);
    }

    /** Takes changed settings into use as far as that goes without a restart: the seeds. */
    void reload(Settings settings) {
        Settings.Fleet before = mSettings.fleet().orElse(null);
        Settings.Fleet after = settings.fleet().orElse(null);
        boolean hasOtherSeeds =
                before != null && after != null && !before.seedHosts().equals(after.seedHosts());
        if (hasOtherSeeds && mDuty.put(new Input.SeedsChanged(after.seedHosts()))) {
            mSettings = settings;
        }
    }

    /** Returns the settings that the host runs by. */
    public Settings settings() {
        return mSettings;
    }

    /**
     * Stops as planned: takes no new work, lets what runs finish, then closes.
     *
     * @return whether everything had finished within the time that the settings allow
     */
    public boolean stop() throws InterruptedException {
        mLog.write(EventCode.PROCESS_STOPPING, "waits for what runs");
        mReady = false;
        mRole.front().ifPresent(HttpFront::lameDuck);
        mDuty.put(new Input.PlannedStop());
        boolean drained = mDuty.awaitDrained(TimeUnit.SECONDS.toNanos(mSettings.stopSeconds()));
        close();
        mLog.write(EventCode.PROCESS_STOPPED, drained ? "all had finished" : "time was up");
        EventLog.drain();
        return drained;
    }

    /** Closes at once, as a crash would. */
    public void close() throws InterruptedException {
        if (mHostList.isPresent()) {
            mHostList.get().stop();
        }
        if (mWatch != null) {
            mWatch.stop();
        }
        mDuty.stop();
        mRole.close();
        mAdmin.close();
        mPeers.close();
    }
}
