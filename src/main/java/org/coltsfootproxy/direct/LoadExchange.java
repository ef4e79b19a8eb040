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
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.TargetId;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Node;

/**
 * Exchanges the number of calls in flight at each target between the hosts that call targets, so
 * that each host knows how busy a target is before the target reports its load.
 *
 * <p>A host reports its changed numbers soon after a change, and all its numbers regularly, which
 * corrects what others miss when a report is lost.
 */
public final class LoadExchange {
    /** Shortest interval between two reports. */
    private static final long MIN_REPORT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** Interval between complete reports of a host that has calls in flight. */
    private static final long COMPLETE_REPORT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Time after which a silent host's reports expire: two complete reports and their delivery. */
    private static final long REPORT_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

    private final HostId mSelf;
    private final Targets mTargets;
    private final Map<HostId, Report> mReports = new HashMap<>();
    private Set<HostId> mHosts = Set.of();
    private long mReportedAt;
    private long mCompleteAt;
    private boolean mHadCalls;

    /** The targets at which a host has calls in flight, and when its last report arrived. */
    private static final class Report {
        private final Set<TargetId> mTargets = new HashSet<>();
        private long mReceivedAt;
    }

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
        // Plain loops, since this is called for each report of each host.
        Report report = mReports.computeIfAbsent(from, host -> new Report());
        report.mReceivedAt = nowNanos;
        Set<TargetId> omitted = inFlight.isComplete() ? new HashSet<>(report.mTargets) : Set.of();
        for (FleetMessage.TargetUse use : inFlight.uses()) {
            boolean hasCalls = use.online() + use.batch() > 0;
            Target target = mTargets.find(use.target());
            if (target != null) {
                target.reported(use, nowNanos);
                target.updateUse(from, hasCalls ? use : null);
            }
            mTargets.workReported(from, use, nowNanos);
            if (hasCalls) {
                report.mTargets.add(use.target());
            } else {
                report.mTargets.remove(use.target());
            }
            if (inFlight.isComplete()) {
                omitted.remove(use.target());
            }
        }
        for (TargetId id : omitted) {
            removeUse(from, id);
            report.mTargets.remove(id);
        }
    }

    private void removeUse(HostId host, TargetId id) {
        Target target = mTargets.find(id);
        if (target != null) {
            target.updateUse(host, null);
        }
    }

    private void dropReport(HostId host) {
        mReports.remove(host).mTargets.forEach(id -> removeUse(host, id));
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

    /** Drops the reports of silent hosts. */
    void expireReports(long nowNanos) {
        List<HostId> silent =
                mReports.entrySet().stream()
                        .filter(
                                entry ->
                                        nowNanos - entry.getValue().mReceivedAt
                                                >= REPORT_TIMEOUT_NANOS)
                        .map(Map.Entry::getKey)
                        .toList();
        silent.forEach(this::dropReport);
    }

    /** Makes the next report a complete one that is due soon. */
    void requireCompleteReport(long nowNanos) {
        mCompleteAt = nowNanos - COMPLETE_REPORT_INTERVAL_NANOS;
        mHadCalls = true;
    }

    /** Returns what has to be reported now; empty if nothing has. */
    Optional<FleetMessage.InFlight> takeReport(long nowNanos) {
        boolean isComplete = mHadCalls && nowNanos - mCompleteAt >= COMPLETE_REPORT_INTERVAL_NANOS;
        if (!isComplete && !mTargets.hasChangedUses()) {
            return Optional.empty();
        }
        mReportedAt = nowNanos;
        if (!isComplete) {
            mHadCalls = true;
            return Optional.of(
                    new FleetMessage.InFlight(mTargets.takeChangedUses(nowNanos), false));
        }
        List<FleetMessage.TargetUse> uses = mTargets.takeAllUses(nowNanos);
        mCompleteAt = nowNanos;
        mHadCalls = !uses.isEmpty();
        return Optional.of(new FleetMessage.InFlight(uses, true));
    }

    /** Returns when the next report is due, or {@link Node#NEVER}. */
    long nextReportNanos() {
        if (mTargets.hasChangedUses()) {
            return mReportedAt + MIN_REPORT_INTERVAL_NANOS;
        }
        return mHadCalls
                ? Math.max(
                        mCompleteAt + COMPLETE_REPORT_INTERVAL_NANOS,
                        mReportedAt + MIN_REPORT_INTERVAL_NANOS)
                : Node.NEVER;
    }
}
