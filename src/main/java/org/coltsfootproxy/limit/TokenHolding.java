package org.coltsfootproxy.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.message.LimitMessage.Grant;
import org.coltsfootproxy.message.LimitMessage.GrantEpoch;

/** The tokens of one organisation that an entry holds, and the requests that wait for more. */
final class TokenHolding {
    /**
     * The last 1/500 of a grant's lifetime is not used, because the clocks of owner and entry may
     * drift apart.
     */
    private static final long CLOCK_DRIFT_DIVISOR = 500;

    /** Maximum number of times that the timeout of an unanswered token request is doubled. */
    private static final int MAX_TIMEOUT_DOUBLINGS = 2;

    private static final double SECOND_NANOS = 1e9;

    /** Time constant of the exponential decay of the demand estimate. */
    private static final double DEMAND_DECAY_NANOS = 5e8;

    /** A request that has been waiting since {@code since}. */
    record Waiter(long call, long since) {}

    private final Deque<Waiter> mWaiters = new ArrayDeque<>();
    private final long mIncarnation;
    private final LongSupplier mNextEpoch;
    private OwnerLease.Owner mOwner;
    private long mEpoch;
    private long mGranted;
    private long mUsed;
    private long mReturned;
    private long mReportedUsed;
    private long mExpiresAt = Long.MIN_VALUE;
    private long mLastUse = Long.MIN_VALUE / 2;
    private double mDemand;
    private long mDemandAt = Long.MIN_VALUE / 2;
    private long mAskedAt = Long.MIN_VALUE / 2;
    private boolean mAskPending;
    private int mAskRepeats;
    private long mEarliestAskAt = Long.MIN_VALUE;

    TokenHolding(long incarnation, LongSupplier nextEpoch) {
        mIncarnation = incarnation;
        mNextEpoch = nextEpoch;
    }

    Deque<Waiter> waiters() {
        return mWaiters;
    }

    OwnerLease.Owner owner() {
        return mOwner;
    }

    /** Drops all tokens if the owner has changed or the tokens have expired. */
    void refresh(OwnerLease.Owner owner, long now) {
        boolean isNewOwner = mOwner == null || owner != null && owner.fencing() > mOwner.fencing();
        if (isNewOwner && owner != null) {
            mOwner = owner;
            mAskPending = false;
            mEarliestAskAt = Long.MIN_VALUE;
            beginEpoch();
        } else if (mGranted > 0 && now >= mExpiresAt) {
            beginEpoch();
        }
    }

    private void beginEpoch() {
        mEpoch = mNextEpoch.getAsLong();
        mGranted = 0;
        mUsed = 0;
        mReturned = 0;
        mReportedUsed = 0;
        mExpiresAt = Long.MIN_VALUE;
    }

    GrantEpoch grantEpoch() {
        return new GrantEpoch(mOwner.fencing(), mIncarnation, mEpoch);
    }

    boolean matches(HostId host, GrantEpoch grantEpoch) {
        return mOwner != null && mOwner.host().equals(host) && grantEpoch().equals(grantEpoch);
    }

    /** Returns the number of usable tokens; the caller must have called {@link #refresh}. */
    long tokens() {
        return mGranted - mUsed - mReturned;
    }

    long used() {
        return mUsed;
    }

    long returned() {
        return mReturned;
    }

    /** Returns whether an idle entry has tokens to return or uses to report. */
    boolean needsReturn() {
        return tokens() > 0 || mUsed > mReportedUsed;
    }

    void recordUse(long now) {
        mUsed++;
        mLastUse = now;
    }

    /** Counts all tokens as returned and all uses as reported. */
    void returnAll() {
        mReturned += tokens();
        mReportedUsed = mUsed;
    }

    /** Applies a grant unless it has expired; the owner counts an expired grant as used. */
    void applyGrant(Grant grant, long now) {
        long lifetime = grant.validNanos() - grant.validNanos() / CLOCK_DRIFT_DIVISOR;
        long end = grant.askedNanos() + lifetime;
        if (end > now) {
            mGranted = Math.max(mGranted, grant.granted());
            mExpiresAt = Math.max(mExpiresAt, end);
        }
        if (grant.askedNanos() == mAskedAt) {
            mAskPending = false;
        }
    }

    long idleNanos(long now) {
        return Math.max(0, now - mLastUse);
    }

    /** Records a request in the demand estimate. */
    void recordDemand(long now) {
        mDemand = demandAt(now) + SECOND_NANOS / DEMAND_DECAY_NANOS;
        mDemandAt = now;
    }

    /** Returns the recent demand in requests per second. */
    double demandAt(long now) {
        return mDemand * Math.exp(-(now - mDemandAt) / DEMAND_DECAY_NANOS);
    }

    boolean isAskPending() {
        return mAskPending;
    }

    /**
     * Records a token request; returns its number: the time, or the last number plus 1 if that is
     * higher.
     */
    long recordAsk(long now) {
        mAskRepeats = mAskPending ? mAskRepeats + 1 : 0;
        mAskedAt = Math.max(mAskedAt + 1, now);
        mAskPending = true;
        mReportedUsed = mUsed;
        return mAskedAt;
    }

    /** Returns when a pending token request is to be repeated. */
    long repeatAskAt(long timeout) {
        return mAskedAt + (timeout << Math.min(mAskRepeats, MAX_TIMEOUT_DOUBLINGS));
    }

    long earliestAskAt() {
        return mEarliestAskAt;
    }

    void earliestAskAt(long nanos) {
        mEarliestAskAt = nanos;
    }
}
