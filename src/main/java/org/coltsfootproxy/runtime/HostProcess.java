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
import org.coltsfootproxy.base.ErrorKind;
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
import org.coltsfootproxy.node.Problem;

/**
 * A running host: its node, and the threads, sockets and files that the node needs.
 *
 * <p>A host has exactly one role. One process may run several hosts.
 */
public final class HostProcess {
    /** Largest configuration document that operators may upload, in bytes. */
    private static final int MAX_CONFIG_BYTES = 8 << 20;

    /** Largest body at the admin address of a host that reads none there, in bytes. */
    private static final int MAX_UNREAD_BYTES = 64 << 10;

    /** Time at the end of a planned stop for the last answers to be sent to their callers. */
    private static final long MIN_SEND_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** Answer to the calls that are still unanswered at the end of a planned stop. */
    private static final Problem UNANSWERED =
            Problem.of(ErrorKind.ANSWER_LOST, "the host has stopped before the call ended");

    private volatile Settings mSettings;
    private final EventLog mLog;
    private final Metrics mMetrics = Metrics.create();
    private final SocketEvents mEvents;
    private final PeerTransport mPeers;
    private final HttpFront mAdmin;
    private final Role mRole;
    private final NodeLoop mNodeLoop;
    private final Optional<HostListPoller> mHostListPoller;
    private volatile boolean mReady;
    private volatile SettingsWatcher mSettingsWatcher;

    /** Forwards network events to the host's log and metrics. */
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
                        mRole.handlesOperatorCalls() ? toNode : null);
        mAdmin =
                HttpFront.create(
                        adminSettings(settings, mRole.handlesOperatorCalls()), adminSink, mEvents);
        EffectRouter effects =
                EffectRouter.create(
                        mPeers,
                        mLog,
                        mMetrics,
                        mRole.handlesOperatorCalls() ? mAdmin : mRole.front().orElse(null),
                        mRole.target().orElse(null),
                        mRole.disk().orElse(null),
                        mRole.targets().orElse(null));
        Node node = mRole.node();
        mNodeLoop = NodeLoop.create(settings.host() + "-decisions", node, effects, mRole::observe);
        mHostListPoller =
                settings.hostList()
                        .map(HostListPoller::hostListAt)
                        .map(list -> HostListPoller.create(settings.host().value(), list, toNode));
    }

    /**
     * Starts a host with the given settings.
     *
     * @throws ProxyException if an address can't be bound or the data folder is damaged
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
        if (mNodeLoop.offer(input)) {
            return true;
        }
        mMetrics.record(Metric.RING_FULL, "", "", 1);
        return false;
    }

    private void put(Input input) {
        mNodeLoop.put(input);
    }

    private PeerSettings peerSettings(Incarnation incarnation) {
        InetSocketAddress address = Addresses.parse(mSettings.peerAddress());
        PeerSettings defaults =
                PeerSettings.defaults(
                        mSettings.host(),
                        incarnation,
                        address,
                        mSettings.fleetSecret().getBytes(StandardCharsets.UTF_8));
        PeerSettings bounded = defaults.withMaxUnproven(Descriptors.of(mSettings).unprovenPeers());
        return mSettings.fleet().isPresent() ? bounded.withFleetPort(address.getPort()) : bounded;
    }

    private static HttpFrontSettings adminSettings(Settings settings, boolean readsBodies) {
        HttpFrontSettings admin =
                HttpFrontSettings.defaults(Addresses.parse(settings.adminAddress()))
                        .withMaxConnections(Descriptors.of(settings).operators());
        if (!readsBodies) {
            return admin.withMaxBodyBytes(MAX_UNREAD_BYTES).withThreads(1);
        }
        return settings.fleet().isPresent()
                ? admin.withMaxBodyBytes(MAX_CONFIG_BYTES).withThreads(1)
                : admin;
    }

    /** Returns the settings of a server for callers. */
    static HttpFrontSettings callerSettings(Settings settings, String address) {
        return HttpFrontSettings.defaults(Addresses.parse(address))
                .withMaxConnections(Descriptors.of(settings).callers());
    }

    private void start() throws ProxyException {
        mRole.start();
        mNodeLoop.start();
        mHostListPoller.ifPresent(HostListPoller::start);
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
     * Starts watching the settings file for changes.
     *
     * @throws ProxyException if the file can't be read
     */
    public void watch(Path file) throws ProxyException {
        mSettingsWatcher = SettingsWatcher.create(file, mLog, this::reload);
        mSettingsWatcher.start();
    }

    /** Checks the settings file for changes at once, if it is being watched. */
    public void checkSettingsNow() {
        Optional.ofNullable(mSettingsWatcher).ifPresent(SettingsWatcher::checkNow);
    }

    /** Applies the settings that can change without a restart, which are the fleet's seeds. */
    void reload(Settings settings) {
        Settings.Fleet before = mSettings.fleet().orElse(null);
        Settings.Fleet after = settings.fleet().orElse(null);
        boolean seedsChanged =
                before != null && after != null && !before.seedHosts().equals(after.seedHosts());
        if (seedsChanged && mNodeLoop.put(new Input.SeedsChanged(after.seedHosts()))) {
            mSettings = settings;
        }
    }

    /** Returns the settings in effect. */
    public Settings settings() {
        return mSettings;
    }

    /**
     * Stops gracefully: accepts no new work, drains the work in flight, then closes.
     *
     * @return whether all work finished within {@link Settings#stopSeconds}
     */
    public boolean stop() throws InterruptedException {
        mLog.write(EventCode.PROCESS_STOPPING, "draining work in flight");
        mReady = false;
        mRole.front().ifPresent(HttpFront::startDraining);
        mNodeLoop.put(new Input.PlannedStop());
        long stopNanos = TimeUnit.SECONDS.toNanos(mSettings.stopSeconds());
        long endNanos = System.nanoTime() + stopNanos;
        boolean drained = mNodeLoop.awaitDrained(stopNanos);
        mNodeLoop.stop();
        if (mRole.front().isPresent()) {
            long maxWaitNanos = Math.max(MIN_SEND_NANOS, endNanos - System.nanoTime());
            mRole.front().get().finish(UNANSWERED, maxWaitNanos);
        }
        close();
        mLog.write(
                EventCode.PROCESS_STOPPED,
                drained ? "all work finished" : "stopSeconds elapsed before all work finished");
        EventLog.drain();
        return drained;
    }

    /** Closes immediately without draining; to other hosts this looks like a crash. */
    public void close() throws InterruptedException {
        if (mHostListPoller.isPresent()) {
            mHostListPoller.get().stop();
        }
        if (mSettingsWatcher != null) {
            mSettingsWatcher.stop();
        }
        mNodeLoop.stop();
        mRole.close();
        mAdmin.close();
        mPeers.close();
    }
}
