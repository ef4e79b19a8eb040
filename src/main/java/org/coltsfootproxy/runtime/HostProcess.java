package org.coltsfootproxy.runtime;

import static com.google.common.base.Preconditions.checkNotNull;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
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
import org.coltsfootproxy.node.Node;

/**
 * One host of the system: a node's decisions with the duties around them.
 *
 * <p>A host has one role; a process may hold several hosts.
 */
public final class HostProcess {
    private final Settings mSettings;
    private final EventLog mLog;
    private final Metrics mMetrics = Metrics.create();
    private final SocketEvents mEvents;
    private final PeerTransport mPeers;
    private final HttpFront mAdmin;
    private final Role mRole;
    private final NodeDuty mDuty;
    private final Optional<HostListDuty> mHostList;
    private volatile boolean mReady;

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
                        () -> mReady,
                        this::admin,
                        mRole.takesOperators() ? toNode : null);
        mAdmin = HttpFront.create(frontSettings(settings.adminAddress()), adminSink, mEvents);
        EffectRouter effects =
                EffectRouter.create(
                        mPeers,
                        mLog,
                        mMetrics,
                        mRole.takesOperators() ? mAdmin : mRole.front().orElse(null),
                        mRole.target().orElse(null),
                        mRole.disk().orElse(null));
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
        return PeerSettings.defaults(
                mSettings.host(),
                incarnation,
                Addresses.parse(mSettings.peerAddress()),
                mSettings.fleetSecret().getBytes(StandardCharsets.UTF_8));
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
        mLog.write(EventCode.PROCESS_STARTED, "peers and operators connect, admin at " + admin);
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
        return drained;
    }

    /** Closes at once, as a crash would. */
    public void close() throws InterruptedException {
        if (mHostList.isPresent()) {
            mHostList.get().stop();
        }
        mDuty.stop();
        mRole.close();
        mAdmin.close();
        mPeers.close();
    }
}
