package org.coltsfootproxy.direct;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.limit.SharedCountLimiter;
import org.coltsfootproxy.membership.FleetMembership;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.quarantine.CrashQuarantine;
import org.coltsfootproxy.relay.RelayGroups;
import org.coltsfootproxy.relay.ReportRelay;

/**
 * Composes the reports of this host and applies those of the others: calls in flight, admitted and
 * refused requests, targets that leave, what crashes targets, and streams that have begun.
 *
 * <p>All parts travel in one report, which is sent as soon as one part is due.
 */
public final class HostReports {
    /** Interval between checks for reports that have expired. */
    private static final long EXPIRY_CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final HostId mSelf;
    private final long mEpoch;
    private final Targets mTargets;
    private final LoadExchange mLoads;
    private final CrashQuarantine mQuarantine;
    private final Optional<SharedCountLimiter> mLimiter;
    private final Optional<LoadShedder> mShedder;
    private final Optional<StreamVersions> mVersions;
    private final ReportRelay mRelay;
    private long mSequence;
    private long mPublishedAt;
    private long mNextExpiryCheck;

    private HostReports(
            HostId self,
            long epoch,
            Targets targets,
            LoadExchange loads,
            CrashQuarantine quarantine,
            Optional<SharedCountLimiter> limiter,
            Optional<LoadShedder> shedder,
            Optional<StreamVersions> versions) {
        mSelf = checkNotNull(self, "self");
        mEpoch = epoch;
        mTargets = checkNotNull(targets, "targets");
        mLoads = checkNotNull(loads, "loads");
        mQuarantine = checkNotNull(quarantine, "quarantine");
        mLimiter = checkNotNull(limiter, "limiter");
        mShedder = checkNotNull(shedder, "shedder");
        mVersions = checkNotNull(versions, "versions");
        mRelay = ReportRelay.create(self, new Received());
    }

    /**
     * Returns the reports of an entry.
     *
     * @param epoch number that differs between the processes of a host
     */
    static HostReports ofEntry(
            HostId self,
            long epoch,
            Targets targets,
            LoadExchange loads,
            CrashQuarantine quarantine,
            SharedCountLimiter limiter,
            LoadShedder shedder,
            StreamVersions versions) {
        return new HostReports(
                self,
                epoch,
                targets,
                loads,
                quarantine,
                Optional.of(limiter),
                Optional.of(shedder),
                Optional.of(versions));
    }

    /**
     * Returns the reports of a store.
     *
     * @param versions keeps the streams that entries report
     * @param epoch number that differs between the processes of a host
     */
    public static HostReports ofStore(
            HostId self,
            long epoch,
            Targets targets,
            LoadExchange loads,
            CrashQuarantine quarantine,
            StreamVersions versions) {
        return new HostReports(
                self,
                epoch,
                targets,
                loads,
                quarantine,
                Optional.empty(),
                Optional.empty(),
                Optional.of(versions));
    }

    /** Applies the reports of other hosts. */
    private final class Received implements ReportRelay.Listener {
        @Override
        public void reported(FleetMessage.HostReport report, long nowNanos, Effects out) {
            HostId origin = report.origin();
            Optional.ofNullable(report.inFlight())
                    .ifPresent(inFlight -> mLoads.handle(origin, inFlight, nowNanos));
            report.leaving().forEach(mTargets.leaving()::add);
            if (report.usage() != null) {
                mLimiter.ifPresent(l -> l.handle(origin, report.epoch(), report.usage(), nowNanos));
            }
            if (report.crashes() != null) {
                mQuarantine.handle(report.crashes(), nowNanos, out);
            }
            if (report.refused() != null) {
                mShedder.ifPresent(s -> s.handle(report.refused(), nowNanos));
            }
            mVersions.ifPresent(versions -> versions.handle(report.streams(), nowNanos));
        }

        @Override
        public void ended(HostId host, long nowNanos) {
            mLimiter.ifPresent(limiter -> limiter.entryEnded(host, nowNanos));
        }

        @Override
        public void reportsLost(long nowNanos) {
            mLoads.requireCompleteReport(nowNanos);
            mLimiter.ifPresent(SharedCountLimiter::requireCompleteReport);
            mVersions.ifPresent(versions -> versions.reportAgain(nowNanos));
        }
    }

    /** Applies a change of the fleet's hosts. */
    public void hostsChanged(FleetMembership membership, long nowNanos, Effects out) {
        mLoads.hosts(membership.targetCallers());
        mTargets.coldLimits().hosts(mSelf, mLimiter.isPresent(), membership, nowNanos);
        mRelay.groups(RelayGroups.of(membership), nowNanos, out);
    }

    /** Handles a message of another host. */
    public void handle(HostId from, FleetMessage.Reports reports, long nowNanos, Effects out) {
        mRelay.handle(from, reports, nowNanos, out);
    }

    /** Handles the loss of the connection to another host. */
    public void peerLost(HostId host, long nowNanos, Effects out) {
        mRelay.peerLost(host, nowNanos, out);
    }

    /** Sends what is due. */
    public void tick(long nowNanos, Effects out) {
        if (nowNanos - mNextExpiryCheck >= 0) {
            mNextExpiryCheck = nowNanos + EXPIRY_CHECK_INTERVAL_NANOS;
            mLoads.expireReports(nowNanos);
        }
        if (nowNanos - nextReportNanos() >= 0) {
            publish(nowNanos);
        }
        mRelay.tick(nowNanos, out);
    }

    private void publish(long nowNanos) {
        mPublishedAt = nowNanos;
        mRelay.publish(
                new FleetMessage.HostReport(
                        mSelf,
                        mEpoch,
                        ++mSequence,
                        mLoads.takeReport(nowNanos).orElse(null),
                        mLimiter.flatMap(l -> l.takeReport(nowNanos)).orElse(null),
                        mShedder.flatMap(LoadShedder::takeReport).orElse(null),
                        mTargets.leaving().recentlyHeard(nowNanos),
                        mQuarantine.takeReport(nowNanos).orElse(null),
                        mVersions.map(StreamVersions::takeReport).orElse(List.of())),
                nowNanos);
    }

    private long nextReportNanos() {
        // No streams, since this is called several times in each round of the host's loop.
        long next = Math.min(mLoads.nextReportNanos(), mQuarantine.nextReportNanos());
        if (mLimiter.isPresent()) {
            next = Math.min(next, mLimiter.get().nextReportNanos());
        }
        boolean hasBatch =
                mShedder.isPresent() && mShedder.get().hasReport()
                        || mVersions.isPresent() && mVersions.get().hasReport();
        return hasBatch ? Math.min(next, mPublishedAt + ReportRelay.BATCH_INTERVAL_NANOS) : next;
    }

    /** Returns the time of the next due {@link #tick}. */
    public long nextTickNanos() {
        return Math.min(nextReportNanos(), mRelay.nextTickNanos());
    }
}
