package org.coltsfootproxy.direct;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.TargetId;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Node;

/**
 * Exchanges the number of calls in flight at each target between the hosts that call targets, so
 * that each host knows how busy a target is before the target reports its load.
 *
 * <p>A host sends a report when its calls have changed. The shortest interval between two reports
 * grows with the number of hosts, so that the rate of reports that a host receives does not.
 */
public final class LoadExchange {
    /** Report interval per receiving host; each host receives at most 200 reports a second. */
    private static final long REPORT_NANOS_PER_HOST = TimeUnit.MILLISECONDS.toNanos(5);

    /** Shortest interval between two reports. */
    private static final long MIN_REPORT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** Longest interval between two reports of a host that has calls in flight. */
    private static final long MAX_REPORT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Time after which a silent host's last report expires: two reports and their delivery. */
    private static final long REPORT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

    private final HostId mSelf;
    private final Targets mTargets;
    private final Map<HostId, Report> mReports = new HashMap<>();
    private Set<HostId> mHosts = Set.of();
    private long mReportedChanges;
    private long mReportedAt;

    /** The targets in a host's last report, and when it arrived. */
    private record Report(Set<TargetId> targets, long receivedAt) {}

    private LoadExchange(HostId self, Targets targets) {
        mSelf = checkNotNull(self, "self");
        mTargets = checkNotNull(targets, "targets");
    }

    /** Returns an instance for a host that knows no other host yet. */
    public static LoadExchange create(HostId self, Targets targets) {
        return new LoadExchange(self, targets);
    }

    /** Replaces the hosts that call targets; this host may be among them. */
    public void hosts(Collection<HostId> hosts) {
        mHosts = new LinkedHashSet<>(hosts);
        mHosts.remove(mSelf);
        List<HostId> removedHosts =
                mReports.keySet().stream().filter(h -> !mHosts.contains(h)).toList();
        removedHosts.forEach(this::dropReport);
    }

    /** Applies another host's report of its calls. */
    public void handle(HostId from, FleetMessage.InFlight inFlight, long nowNanos) {
        if (!mHosts.contains(from)) {
            return;
        }
        Set<TargetId> targets =
                inFlight.uses().stream()
                        .map(FleetMessage.TargetUse::target)
                        .collect(Collectors.toSet());
        Report before = mReports.put(from, new Report(targets, nowNanos));
        if (before != null) {
            Set<TargetId> droppedTargets = new HashSet<>(before.targets());
            droppedTargets.removeAll(targets);
            droppedTargets.forEach(id -> updateUse(from, id, Optional.empty()));
        }
        inFlight.uses().forEach(use -> updateUse(from, use.target(), Optional.of(use)));
    }

    private void updateUse(HostId host, TargetId id, Optional<FleetMessage.TargetUse> use) {
        mTargets.byId(id).ifPresent(target -> target.updateUse(host, use));
    }

    private void dropReport(HostId host) {
        mReports.remove(host).targets().forEach(id -> updateUse(host, id, Optional.empty()));
    }

    /** Asks the host with the most preemptible batch items at a target, if any, to preempt one. */
    void preemptBatchItem(Target target, Effects out) {
        target.mostPreemptibleHost()
                .ifPresent(
                        host -> {
                            target.preempted(host);
                            out.send(host, new FleetMessage.PreemptItem(target.listed().id()));
                        });
    }

    /** Drops the reports of silent hosts and sends a report, if one is due. */
    public void tick(long nowNanos, Effects out) {
        if (nowNanos - nextTickNanos() < 0) {
            return;
        }
        List<HostId> silent =
                mReports.entrySet().stream()
                        .filter(
                                entry ->
                                        nowNanos - entry.getValue().receivedAt()
                                                >= REPORT_TIMEOUT_NANOS)
                        .map(Map.Entry::getKey)
                        .toList();
        silent.forEach(this::dropReport);
        sendReport(nowNanos, out);
    }

    private void sendReport(long nowNanos, Effects out) {
        List<FleetMessage.TargetUse> uses =
                mTargets.all()
                        .map(Target::ownUse)
                        .filter(use -> use.online() + use.batch() > 0)
                        .toList();
        boolean isChanged = mTargets.useChanges() != mReportedChanges;
        mReportedChanges = mTargets.useChanges();
        mReportedAt = nowNanos;
        if (isChanged || !uses.isEmpty()) {
            var message = new FleetMessage.InFlight(uses);
            mHosts.forEach(host -> out.send(host, message));
        }
    }

    /** Returns the time of the next due {@link #tick}, or {@link Node#NEVER}. */
    public long nextTickNanos() {
        if (mHosts.isEmpty()) {
            return Node.NEVER;
        }
        long interval = Math.max(MIN_REPORT_INTERVAL_NANOS, REPORT_NANOS_PER_HOST * mHosts.size());
        boolean isChanged = mTargets.useChanges() != mReportedChanges;
        return mReportedAt + (isChanged ? interval : MAX_REPORT_INTERVAL_NANOS);
    }
}
