package org.coltsfootproxy.direct;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.TrafficClass;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.message.ListedTarget;

/** One target as this host knows it: its place in the list, its load and how its calls end. */
final class Target {
    /** How long a target's word on its load counts; load changes within a few requests. */
    private static final long LOAD_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** First time for which a target is avoided after a call broke. */
    private static final long FIRST_AVOID_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /** Doublings of that time: up to 4 s, about as long as the list shows a lost target. */
    private static final int MAX_DOUBLINGS = 4;

    /** How long a target that has refused a request for want of room gets no other. */
    private static final long FULL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** Time that other hosts take to tell what they have begun: one message and its way. */
    private static final long TOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** How long an address that another target has taken is avoided: until the list shows it. */
    private static final long MOVED_NANOS = TimeUnit.SECONDS.toNanos(5);

    private ListedTarget mListed;
    private final Map<HostId, FleetMessage.TargetUse> mUses = new HashMap<>();
    private int mOnline;
    private int mBatch;
    private int mOnlineElsewhere;
    private int mBatchElsewhere;
    private int mKept;
    private int mKeptElsewhere;
    private int mToldElsewhere;
    private long mToldAt = Long.MIN_VALUE / 2;
    private int mBatchBegun;
    private long mBatchBegunSince = Long.MIN_VALUE / 2;
    private int mFailures;
    private long mAvoidUntil = Long.MIN_VALUE / 2;

    Target(ListedTarget listed) {
        mListed = listed;
    }

    ListedTarget listed() {
        return mListed;
    }

    void listed(ListedTarget listed) {
        mListed = listed;
    }

    /** Notes a call from this host. */
    void began(TrafficClass type) {
        count(type, 1);
    }

    /** Notes that a call from this host is over, however it ended. */
    void ended(TrafficClass type) {
        count(type, -1);
    }

    /** Notes that this host has begun a batch item, of which the others don't know yet. */
    void batchBegun(long nowNanos) {
        if (nowNanos - mBatchBegunSince >= TOLD_NANOS) {
            mBatchBegunSince = nowNanos;
            mBatchBegun = 0;
        }
        mBatchBegun++;
    }

    /** Returns the batch items that this host has begun lately, of which the others don't know. */
    int batchBegunLately(long nowNanos) {
        return nowNanos - mBatchBegunSince < TOLD_NANOS ? mBatchBegun : 0;
    }

    private void count(TrafficClass type, int change) {
        if (type == TrafficClass.ONLINE) {
            mOnline += change;
        } else {
            mBatch += change;
        }
    }

    /** Returns this host's own calls. */
    FleetMessage.TargetUse ownUse() {
        return new FleetMessage.TargetUse(mListed.id(), mOnline, mBatch, mKept);
    }

    /** Takes another host's word on its calls; empty if it has none. */
    void use(HostId host, Optional<FleetMessage.TargetUse> use) {
        FleetMessage.TargetUse before =
                use.isPresent() ? mUses.put(host, use.get()) : mUses.remove(host);
        mOnlineElsewhere += use.map(FleetMessage.TargetUse::online).orElse(0);
        mBatchElsewhere += use.map(FleetMessage.TargetUse::batch).orElse(0);
        mKeptElsewhere += use.map(FleetMessage.TargetUse::kept).orElse(0);
        if (before != null) {
            mOnlineElsewhere -= before.online();
            mBatchElsewhere -= before.batch();
            mKeptElsewhere -= before.kept();
        }
    }

    /** Changes the number of this host's batch items that keep their place. */
    void kept(int change) {
        mKept += change;
    }

    /** Returns the other host that has most batch items here that make room. */
    Optional<HostId> batchHolder() {
        return mUses.entrySet().stream()
                .filter(entry -> entry.getValue().yielding() > 0)
                .max(
                        Map.Entry.comparingByValue(
                                Comparator.comparingInt(FleetMessage.TargetUse::yielding)))
                .map(Map.Entry::getKey);
    }

    /** Counts one batch item of a host as gone, as it was asked to give its place up. */
    void yielded(HostId host) {
        FleetMessage.TargetUse use = mUses.get(host);
        if (use != null && use.yielding() > 0) {
            use(
                    host,
                    Optional.of(
                            new FleetMessage.TargetUse(
                                    use.target(), use.online(), use.batch() - 1, use.kept())));
        }
    }

    /** Takes the target's word on its load, which includes this host's own calls. */
    void told(TargetLoad load, long nowNanos) {
        mToldElsewhere = Math.max(0, load.running() + load.waiting() - mOnline - mBatch);
        mToldAt = nowNanos;
    }

    /** Notes an answer. */
    void answered() {
        mFailures = 0;
    }

    /** Notes that a call broke: the target did not answer, or not in full. */
    void broke(long nowNanos) {
        int doublings = Math.min(mFailures, MAX_DOUBLINGS);
        mFailures++;
        mAvoidUntil = nowNanos + (FIRST_AVOID_NANOS << doublings);
    }

    /** Notes that the target has no room. */
    void refused(long nowNanos) {
        mAvoidUntil = Math.max(mAvoidUntil, nowNanos + FULL_NANOS);
    }

    /** Notes that another target answers at the address. */
    void moved(long nowNanos) {
        mAvoidUntil = nowNanos + MOVED_NANOS;
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

    /** Returns the online requests there, as far as hosts have told. */
    int online() {
        return mOnline + mOnlineElsewhere;
    }

    /** Returns the batch items there, as far as hosts have told. */
    int batch() {
        return mBatch + mBatchElsewhere;
    }

    /** Returns the batch items there that would make room for an online request. */
    int yielding() {
        return batch() - mKept - mKeptElsewhere;
    }

    /**
     * Returns all that runs or waits there. The target's own word counts if it names more than the
     * hosts have told.
     */
    int inFlight(long nowNanos) {
        boolean isKnown = nowNanos - mToldAt < LOAD_NANOS;
        int elsewhere = mOnlineElsewhere + mBatchElsewhere;
        return mOnline + mBatch + (mUses.isEmpty() && isKnown ? mToldElsewhere : elsewhere);
    }
}
