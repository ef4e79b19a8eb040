package org.coltsfootproxy.limit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.LongSupplier;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.message.LimitMessage.Account;
import org.coltsfootproxy.message.LimitMessage.Grant;

/** What one entry holds of one organisation's tokens, and the requests that wait for more. */
final class TokenHolding {
    /** Share of a grant's life that is left unused, as the two clocks may drift apart. */
    private static final long DRIFT_DIVISOR = 500;

    private static final int MAX_DOUBLINGS = 2;
    private static final double SECOND_NANOS = 1e9;
    private static final double RATE_SPAN_NANOS = 5e8;

    /** A request that waits since a time. */
    record Waiter(long call, long since) {}

    private final Deque<Waiter> mWaiters = new ArrayDeque<>();
    private final long mLife;
    private final LongSupplier mEpochs;
    private OwnerLease.Owner mOwner;
    private long mEpoch;
    private long mGranted;
    private long mUsed;
    private long mReturned;
    private long mReported;
    private long mExpiresAt = Long.MIN_VALUE;
    private long mLastUse = Long.MIN_VALUE / 2;
    private double mDemand;
    private long mDemandAt = Long.MIN_VALUE / 2;
    private long mAskedAt = Long.MIN_VALUE / 2;
    private boolean mAskOpen;
    private int mAskTries;
    private long mNotBefore = Long.MIN_VALUE;

    TokenHolding(long life, LongSupplier epochs) {
        mLife = life;
        mEpochs = epochs;
    }

    Deque<Waiter> waiters() {
        return mWaiters;
    }

    OwnerLease.Owner owner() {
        return mOwner;
    }

    /** Drops all tokens if the owner is another or they have expired. */
    void refresh(OwnerLease.Owner owner, long now) {
        boolean isNewOwner = mOwner == null || owner != null && owner.fencing() > mOwner.fencing();
        if (isNewOwner && owner != null) {
            mOwner = owner;
            mAskOpen = false;
            mNotBefore = Long.MIN_VALUE;
            beginEpoch();
        } else if (mGranted > 0 && now >= mExpiresAt) {
            beginEpoch();
        }
    }

    private void beginEpoch() {
        mEpoch = mEpochs.getAsLong();
        mGranted = 0;
        mUsed = 0;
        mReturned = 0;
        mReported = 0;
        mExpiresAt = Long.MIN_VALUE;
    }

    Account account() {
        return new Account(mOwner.fencing(), mLife, mEpoch);
    }

    boolean isFrom(HostId host, Account account) {
        return mOwner != null && mOwner.host().equals(host) && account().equals(account);
    }

    /** Returns the tokens that may be used at a time after {@link #refresh}. */
    long tokens() {
        return mGranted - mUsed - mReturned;
    }

    long used() {
        return mUsed;
    }

    long returned() {
        return mReturned;
    }

    /** Tells whether there is something to tell the owner after an idle time. */
    boolean wantsReturn() {
        return tokens() > 0 || mUsed > mReported;
    }

    void use(long now) {
        mUsed++;
        mLastUse = now;
    }

    /** Gives all tokens back and tells what was used. */
    void giveBack() {
        mReturned += tokens();
        mReported = mUsed;
    }

    /** Takes a grant; one that came after its life is void, as the owner has counted it as used. */
    void granted(Grant grant, long now) {
        long life = grant.lifeNanos() - grant.lifeNanos() / DRIFT_DIVISOR;
        long end = grant.askedNanos() + life;
        if (end > now) {
            mGranted = Math.max(mGranted, grant.granted());
            mExpiresAt = Math.max(mExpiresAt, end);
        }
        if (grant.askedNanos() == mAskedAt) {
            mAskOpen = false;
        }
    }

    long idleNanos(long now) {
        return Math.max(0, now - mLastUse);
    }

    /** Notes a request, to follow the demand. */
    void demand(long now) {
        mDemand = demandAt(now) + SECOND_NANOS / RATE_SPAN_NANOS;
        mDemandAt = now;
    }

    /** Returns the recent demand in requests a second. */
    double demandAt(long now) {
        return mDemand * Math.exp(-(now - mDemandAt) / RATE_SPAN_NANOS);
    }

    boolean isAskOpen() {
        return mAskOpen;
    }

    /** Notes an ask; returns its number, the clock made to grow. */
    long asked(long now) {
        mAskTries = mAskOpen ? mAskTries + 1 : 0;
        mAskedAt = Math.max(mAskedAt + 1, now);
        mAskOpen = true;
        mReported = mUsed;
        return mAskedAt;
    }

    /** Returns when an open ask is to be repeated. */
    long repeatAt(long timeout) {
        return mAskedAt + (timeout << Math.min(mAskTries, MAX_DOUBLINGS));
    }

    long notBefore() {
        return mNotBefore;
    }

    void notBefore(long nanos) {
        mNotBefore = nanos;
    }
}
