package org.coltsfootproxy.limit;

/** The sums of one epoch of an entry at the owner of a bucket. */
final class GrantTotals {
    private final long mEpoch;
    private long mGranted;
    private long mUsed;
    private long mReturned;
    private long mExpiresAt = Long.MAX_VALUE;
    private long mLastAsk = Long.MIN_VALUE;

    GrantTotals(long epoch) {
        mEpoch = epoch;
    }

    long epoch() {
        return mEpoch;
    }

    long granted() {
        return mGranted;
    }

    /** Notes an ask; false if it is a copy or was overtaken. */
    boolean isNewAsk(long askedNanos) {
        if (askedNanos <= mLastAsk) {
            return false;
        }
        mLastAsk = askedNanos;
        return true;
    }

    void grant(long tokens, long expiresAt) {
        mGranted += tokens;
        mExpiresAt = mExpiresAt == Long.MAX_VALUE ? expiresAt : Math.max(mExpiresAt, expiresAt);
    }

    /** Takes a sum of used tokens; returns what is new in it. */
    long used(long sum) {
        long more = Math.max(0, Math.min(sum, mGranted - mReturned) - mUsed);
        mUsed += more;
        return more;
    }

    /** Takes a sum of returned tokens; returns what is new in it. */
    long returned(long sum) {
        long more = Math.max(0, Math.min(sum, mGranted - mUsed) - mReturned);
        mReturned += more;
        return more;
    }

    /** Returns the tokens that the entry may still use. */
    long outstanding() {
        return mGranted - mUsed - mReturned;
    }

    /** Returns when the last grant's life ends, or {@link Long#MAX_VALUE} before the first. */
    long expiresAt() {
        return mExpiresAt;
    }

    /** Tells whether the entry can use none of these tokens any more. */
    boolean isOver(long now) {
        return now >= mExpiresAt;
    }
}
