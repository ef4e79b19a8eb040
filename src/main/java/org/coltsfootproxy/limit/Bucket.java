package org.coltsfootproxy.limit;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.config.Organisation;

/**
 * The token bucket of one organisation at its owner, with the tokens granted to each entry.
 *
 * <p>Invariant: the tokens in the bucket plus the granted tokens that are not known to be used
 * never exceed the burst. So the admissions in any interval are at most rate times time plus burst,
 * whenever and wherever the granted tokens are used.
 */
final class Bucket {
    private static final double SECOND_NANOS = 1e9;

    /** Time that a recovery may take, as a multiple of the time to fill an empty bucket. */
    private static final int MAX_RECOVERY_FILLS = 3;

    /** Further time for the requests that waited during the change of owner. */
    private static final long RECOVERY_BACKLOG_NANOS = 4_000_000_000L;

    /**
     * An entry in one incarnation of its process.
     *
     * @param incarnation random number drawn at the entry's start
     */
    record Holder(HostId host, long incarnation) {}

    private final OrganisationId mOrganisation;
    private final long mFencing;
    private final long mOwnedSince;
    private final long mMaxReportDelayNanos;
    private final Map<Holder, GrantTotals> mTotalsByHolder = new HashMap<>();
    private final LostRefill mLostRefill = new LostRefill();
    private double mRate;
    private double mBurst;
    private double mLevel;
    private long mFilledAt;
    private boolean mWasFull;
    private long mLastRecallAt;

    private Bucket(Organisation rates, OwnerLease.Held lease, long maxReportDelayNanos) {
        mOrganisation = rates.id();
        mFencing = lease.fencing();
        mOwnedSince = lease.sinceNanos();
        mRate = rates.ratePerSecond();
        mBurst = rates.burst();
        mFilledAt = lease.sinceNanos();
        mLastRecallAt = Long.MIN_VALUE / 2;
        mMaxReportDelayNanos = maxReportDelayNanos;
    }

    /**
     * Returns a bucket, filled up to now, of an organisation without grants under this lease.
     *
     * <p>The bucket starts empty at the start of this lease. That is the worst case, because the
     * grants of earlier owners ended with their leases.
     *
     * @param maxReportDelayNanos maximum time until the use of a token is reported
     */
    static Bucket create(
            Organisation rates, OwnerLease.Held lease, long maxReportDelayNanos, long now) {
        Bucket bucket = new Bucket(rates, lease, maxReportDelayNanos);
        bucket.fill(now);
        return bucket;
    }

    OrganisationId organisation() {
        return mOrganisation;
    }

    long fencing() {
        return mFencing;
    }

    /** Adds the refill up to now and removes expired grants, in chronological order. */
    void fill(long now) {
        long expiry = nextExpiry();
        while (expiry <= now) {
            long at = expiry;
            fillTo(Math.max(mFilledAt, at));
            mTotalsByHolder.values().removeIf(totals -> totals.hasExpired(at));
            expiry = nextExpiry();
        }
        fillTo(now);
    }

    private long nextExpiry() {
        long next = Long.MAX_VALUE;
        for (GrantTotals totals : mTotalsByHolder.values()) {
            next = Math.min(next, totals.expiresAt());
        }
        return next;
    }

    private void fillTo(long now) {
        double maxLevel = Math.max(0, mBurst - outstanding());
        double missing = Math.max(0, maxLevel - mLevel);
        double added = mRate * (now - mFilledAt) / SECOND_NANOS;
        if (added >= missing) {
            long fullAt = mFilledAt + (long) Math.ceil(missing / mRate * SECOND_NANOS);
            mLostRefill.add(fullAt, now);
            mLostRefill.forgetBefore(now - mMaxReportDelayNanos);
            mWasFull = true;
        }
        mLevel = Math.min(mLevel + added, maxLevel);
        mFilledAt = now;
    }

    /** Applies a new rate and burst; the caller must have called {@link #fill}. */
    void changeRates(Organisation rates) {
        mLostRefill.clear();
        mRate = rates.ratePerSecond();
        mBurst = rates.burst();
        mLevel = Math.max(0, Math.min(mLevel, mBurst - outstanding()));
    }

    /** Returns the totals of an entry's epoch, or null if a later epoch has begun. */
    GrantTotals totalsFor(Holder holder, long epoch) {
        GrantTotals totals = mTotalsByHolder.get(holder);
        if (totals == null || totals.epoch() < epoch) {
            totals = new GrantTotals(epoch);
            mTotalsByHolder.put(holder, totals);
        }
        return totals.epoch() == epoch ? totals : null;
    }

    /**
     * Applies the totals that an entry reports.
     *
     * <p>A used token makes space for refill, but the owner learns of the use only by the report
     * and discards the refill of a full bucket until then. This method credits the refill that was
     * lost since the use.
     */
    void applyReport(GrantTotals totals, long used, long returned, long idleNanos, long now) {
        long newlyUsed = totals.recordUsed(used);
        long newlyReturned = totals.recordReturned(returned);
        double credit = mLostRefill.take(newlyUsed, now - Math.max(0, idleNanos), mRate);
        mLevel = Math.min(mLevel + newlyReturned + credit, Math.max(0, mBurst - outstanding()));
    }

    /**
     * Grants tokens to an entry: up to {@code need}, and at most half of the rest as prefetch.
     *
     * @return the number of tokens granted
     */
    long grant(GrantTotals totals, int need, int prefetch, long expiresAt) {
        long available = (long) Math.floor(mLevel);
        long granted = Math.min(available, need);
        granted += Math.min(prefetch, (available - granted) / 2);
        mLevel -= granted;
        totals.recordGrant(granted, expiresAt);
        return granted;
    }

    /** Returns the number of whole tokens in the bucket. */
    long wholeTokens() {
        return (long) Math.floor(mLevel);
    }

    /** Returns the time in nanoseconds until the bucket holds a whole token, at least 1. */
    long nanosUntilToken() {
        double missing = Math.max(0, 1 - mLevel);
        return Math.max(1, (long) Math.ceil(missing / mRate * SECOND_NANOS));
    }

    /**
     * Returns whether the bucket may lack tokens only because its owner changed.
     *
     * <p>This holds until it was full once or the backlog of the change has had time to drain.
     */
    boolean isRecovering(long now) {
        double fillNanos = mBurst / mRate * SECOND_NANOS;
        return !mWasFull
                && now - mOwnedSince < MAX_RECOVERY_FILLS * fillNanos + RECOVERY_BACKLOG_NANOS;
    }

    /** Returns whether entries other than {@code holder} hold tokens. */
    boolean hasOtherHolders(Holder holder) {
        return mTotalsByHolder.entrySet().stream()
                .anyMatch(e -> !e.getKey().equals(holder) && e.getValue().outstanding() > 0);
    }

    /** Starts a recall unless the last one is too recent; returns whether it was started. */
    boolean tryStartRecall(long now, long minIntervalNanos) {
        boolean allowed = now - mLastRecallAt >= minIntervalNanos;
        if (allowed) {
            mLastRecallAt = now;
        }
        return allowed;
    }

    Collection<Map.Entry<Holder, GrantTotals>> totalsByHolder() {
        return mTotalsByHolder.entrySet();
    }

    /** Returns whether the bucket can be dropped because a new one would be equal to it. */
    boolean isDiscardable(long now) {
        fill(now);
        return mTotalsByHolder.isEmpty() && mLevel >= mBurst;
    }

    private double outstanding() {
        double sum = 0;
        for (GrantTotals totals : mTotalsByHolder.values()) {
            sum += totals.outstanding();
        }
        return sum;
    }
}
