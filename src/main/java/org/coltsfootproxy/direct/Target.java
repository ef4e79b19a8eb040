package org.coltsfootproxy.direct;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.TrafficClass;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.message.ListedTarget;

/** This host's view of one target: its list entry, its load and its recent failures. */
final class Target {
    /** How long a target's own load report is valid; load changes within a few requests. */
    private static final long LOAD_VALIDITY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** How long a target is avoided after the first failed call. */
    private static final long FIRST_AVOID_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /**
     * Maximum number of times that this time is doubled: up to 4 s, about as long as the list still
     * shows a lost target.
     */
    private static final int MAX_DOUBLINGS = 4;

    /** How long a target is avoided after it refused a request because it was full. */
    private static final long AVOID_FULL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** Time until other hosts' reports include a call: one report interval and its delivery. */
    private static final long REPORT_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /**
     * How long a target is avoided whose address now belongs to another target: until the list
     * shows the change.
     */
    private static final long AVOID_MOVED_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** How long other hosts are told of a limit that the target has named to this host. */
    private static final long REPORT_LIMIT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private ListedTarget mListed;
    private final Map<HostId, FleetMessage.TargetUse> mReportedUses = new HashMap<>();
    private int mOnline;
    private int mBatch;
    private int mOnlineElsewhere;
    private int mBatchElsewhere;
    private int mKept;
    private int mKeptElsewhere;
    private int mReportedElsewhere;
    private long mLoadReportedAt = Long.MIN_VALUE / 2;
    private int mRecentBatchStarts;
    private long mBatchStartsSince = Long.MIN_VALUE / 2;
    private int mFailures;
    private long mAvoidUntil = Long.MIN_VALUE / 2;
    private final TargetRateLimit mRateLimit;
    private int mUnreportedStarts;
    private double mNamedPerSecond;
    private long mNamedAt = Long.MIN_VALUE / 2;
    private final TargetWork mWork = new TargetWork();

    Target(ListedTarget listed, ColdLimits coldLimits) {
        mListed = listed;
        mRateLimit = new TargetRateLimit(new ColdLimit(coldLimits, listed));
    }

    ListedTarget listed() {
        return mListed;
    }

    void listed(ListedTarget listed) {
        mListed = listed;
        mRateLimit.cold().listed(listed);
    }

    /** Returns the expected work at the target. */
    TargetWork work() {
        return mWork;
    }

    /** Notes that a call from this host has started. */
    void callStarted(TrafficClass type, long nowNanos) {
        count(type, 1);
        mUnreportedStarts++;
        mRateLimit.cold().sent(nowNanos);
        mRateLimit.started(1, nowNanos);
    }

    /** Notes that a call from this host has ended, with or without success. */
    void callEnded(TrafficClass type) {
        count(type, -1);
    }

    /** Notes that this host has started a batch item, which the other hosts don't know of yet. */
    void batchStarted(long nowNanos) {
        if (nowNanos - mBatchStartsSince >= REPORT_DELAY_NANOS) {
            mBatchStartsSince = nowNanos;
            mRecentBatchStarts = 0;
        }
        mRecentBatchStarts++;
    }

    /**
     * Returns the number of batch items that this host started and other hosts don't know of yet.
     */
    int recentBatchStarts(long nowNanos) {
        return nowNanos - mBatchStartsSince < REPORT_DELAY_NANOS ? mRecentBatchStarts : 0;
    }

    private void count(TrafficClass type, int change) {
        if (type == TrafficClass.ONLINE) {
            mOnline += change;
        } else {
            mBatch += change;
        }
    }

    /** Returns the calls of this host at the target, and what is new since the last time. */
    FleetMessage.TargetUse takeUse(long nowNanos) {
        boolean isLimitRecent = nowNanos - mNamedAt < REPORT_LIMIT_NANOS;
        int started = mUnreportedStarts;
        mUnreportedStarts = 0;
        return new FleetMessage.TargetUse(
                mListed.id(),
                mOnline,
                mBatch,
                mKept,
                started,
                isLimitRecent ? mNamedPerSecond : 0,
                mWork.ownMillis(nowNanos),
                mWork.ownTokens(),
                mWork.speedPercent(nowNanos));
    }

    /** Applies what another host reports of its new calls and of the target's limit. */
    void reported(FleetMessage.TargetUse use, long nowNanos) {
        if (use.perSecond() > 0) {
            mRateLimit.set(use.perSecond(), nowNanos);
        }
        mRateLimit.started(use.started(), nowNanos);
    }

    /** Replaces what another host has reported of its calls; null if it has none. */
    void updateUse(HostId host, FleetMessage.TargetUse use) {
        FleetMessage.TargetUse before =
                use != null ? mReportedUses.put(host, use) : mReportedUses.remove(host);
        if (use != null) {
            countElsewhere(use, 1);
        }
        if (before != null) {
            countElsewhere(before, -1);
        }
        if (use == null) {
            mWork.forget(host);
        }
    }

    private void countElsewhere(FleetMessage.TargetUse use, int sign) {
        mOnlineElsewhere += sign * use.online();
        mBatchElsewhere += sign * use.batch();
        mKeptElsewhere += sign * use.kept();
    }

    /** Changes the number of this host's batch items that keep their slots. */
    void addKept(int change) {
        mKept += change;
    }

    /** Returns the other host with the most preemptible batch items here, if there is one. */
    Optional<HostId> mostPreemptibleHost() {
        return mReportedUses.entrySet().stream()
                .filter(entry -> entry.getValue().preemptible() > 0)
                .max(
                        Map.Entry.comparingByValue(
                                Comparator.comparingInt(FleetMessage.TargetUse::preemptible)))
                .map(Map.Entry::getKey);
    }

    /** Counts one batch item fewer for a host that was asked to preempt one. */
    void preempted(HostId host) {
        FleetMessage.TargetUse use = mReportedUses.get(host);
        if (use != null && use.preemptible() > 0) {
            updateUse(
                    host,
                    FleetMessage.TargetUse.of(
                            use.target(), use.online(), use.batch() - 1, use.kept()));
        }
    }

    /** Applies the target's own load report, which includes this host's calls. */
    void updateLoad(TargetLoad load, long nowNanos) {
        mReportedElsewhere = Math.max(0, load.running() + load.waiting() - mOnline - mBatch);
        mLoadReportedAt = nowNanos;
    }

    /** Returns the limit on calls to the target from all hosts. */
    TargetRateLimit rateLimit() {
        return mRateLimit;
    }

    /**
     * Notes the limit that an answer of the target names, if any.
     *
     * @param sentAt when the answer's call was sent
     */
    void limitNamed(OptionalDouble perSecond, long sentAt, long nowNanos) {
        if (perSecond.isPresent()) {
            mNamedPerSecond = perSecond.getAsDouble();
            mNamedAt = nowNanos;
            mRateLimit.set(mNamedPerSecond, nowNanos);
        } else {
            mRateLimit.notNamed(sentAt);
        }
    }

    /** Notes that the target answered a call, which ends its series of failures. */
    void callSucceeded() {
        mFailures = 0;
    }

    /** Notes that a call failed: the target did not answer, or not completely. */
    void callFailed(long nowNanos) {
        int doublings = Math.min(mFailures, MAX_DOUBLINGS);
        mFailures++;
        mAvoidUntil = nowNanos + (FIRST_AVOID_NANOS << doublings);
    }

    /** Notes that the target refused a call because it is full. */
    void refused(long nowNanos) {
        mAvoidUntil = Math.max(mAvoidUntil, nowNanos + AVOID_FULL_NANOS);
    }

    /** Notes that the address now belongs to another target. */
    void addressMoved(long nowNanos) {
        mAvoidUntil = nowNanos + AVOID_MOVED_NANOS;
    }

    boolean isAvoided(long nowNanos) {
        return nowNanos - mAvoidUntil < 0;
    }

    long avoidUntil() {
        return mAvoidUntil;
    }

    int slots() {
        return mListed.slots();
    }

    /** Returns the number of online requests of all hosts at this target, as far as reported. */
    int online() {
        return mOnline + mOnlineElsewhere;
    }

    /** Returns the number of batch items of all hosts at this target, as far as reported. */
    int batch() {
        return mBatch + mBatchElsewhere;
    }

    /** Returns the number of batch items that can be preempted for an online request. */
    int preemptible() {
        return batch() - mKept - mKeptElsewhere;
    }

    /**
     * Returns the number of calls that run or wait here. The target's own load report counts only
     * while no other host has reported calls here.
     */
    int inFlight(long nowNanos) {
        boolean isLoadKnown = nowNanos - mLoadReportedAt < LOAD_VALIDITY_NANOS;
        int elsewhere = mOnlineElsewhere + mBatchElsewhere;
        return mOnline
                + mBatch
                + (mReportedUses.isEmpty() && isLoadKnown ? mReportedElsewhere : elsewhere);
    }
}
