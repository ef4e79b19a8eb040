package org.coltsfootproxy.limit;

/**
 * The owner's totals of the tokens granted to, used by and returned by one entry in one epoch.
 *
 * <p>The totals never decrease, so reports may be lost, duplicated or reordered.
 */
final class GrantTotals {
    private final long mEpoch;
    private long mGranted;
    private long mUsed;
    private long mReturned;
    private long mExpiresAt = Long.MAX_VALUE;
    private long mLastAskedNanos = Long.MIN_VALUE;

    GrantTotals(long epoch) {
        mEpoch = epoch;
    }

    long epoch() {
        return mEpoch;
    }

    long granted() {
        return mGranted;
    }

    /** Records a token request; returns false if it is a duplicate or older than the last one. */
    boolean recordAsk(long askedNanos) {
        if (askedNanos <= mLastAskedNanos) {
            return false;
        }
        mLastAskedNanos = askedNanos;
        return true;
    }

    void recordGrant(long tokens, long expiresAt) {
        mGranted += tokens;
        mExpiresAt = mExpiresAt == Long.MAX_VALUE ? expiresAt : Math.max(mExpiresAt, expiresAt);
    }

    /** Records the total of used tokens; returns its increase. */
    long recordUsed(long total) {
        long increase = Math.max(0, Math.min(total, mGranted - mReturned) - mUsed);
        mUsed += increase;
        return increase;
    }

    /** Records the total of returned tokens; returns its increase. */
    long recordReturned(long total) {
        long increase = Math.max(0, Math.min(total, mGranted - mUsed) - mReturned);
        mReturned += increase;
        return increase;
    }

    /** Returns the number of tokens that the entry may still use. */
    long outstanding() {
        return mGranted - mUsed - mReturned;
    }

    /** Returns when the last grant expires, or {@link Long#MAX_VALUE} before the first grant. */
    long expiresAt() {
        return mExpiresAt;
    }

    /** Returns whether the entry may no longer use any of these tokens. */
    boolean hasExpired(long now) {
        return now >= mExpiresAt;
    }
}
