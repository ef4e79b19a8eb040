package org.coltsfootproxy.direct;

import java.util.concurrent.TimeUnit;
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

    /** How long an address that another target has taken is avoided: until the list shows it. */
    private static final long MOVED_NANOS = TimeUnit.SECONDS.toNanos(5);

    private ListedTarget mListed;
    private int mInFlight;
    private int mElsewhere;
    private long mLoadAt = Long.MIN_VALUE / 2;
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
    void began() {
        mInFlight++;
    }

    /** Notes that a call from this host is over, however it ended. */
    void ended() {
        mInFlight--;
    }

    /** Takes the target's word on its load, which includes this host's own calls. */
    void told(TargetLoad load, long nowNanos) {
        mElsewhere = Math.max(0, load.running() + load.waiting() - mInFlight);
        mLoadAt = nowNanos;
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

    int inFlight() {
        return mInFlight;
    }

    /** Returns the requests that run or wait there for each slot, as far as they are known. */
    double load(long nowNanos) {
        boolean isKnown = nowNanos - mLoadAt < LOAD_NANOS;
        return (double) (mInFlight + (isKnown ? mElsewhere : 0)) / mListed.slots();
    }
}
