package org.coltsfootproxy.limit;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.config.Organisation;

/**
 * The token bucket of one organisation at its owner, with what was granted to each entry.
 *
 * <p>Invariant: the tokens here and those granted and not known to be used are never more than the
 * burst together, so no interval sees more passes than rate times time plus burst, whenever and
 * wherever the granted ones are used.
 */
final class Bucket {
    private static final double SECOND_NANOS = 1e9;
    private static final int FILLS_TO_RECOVER = 3;
    private static final long BACKLOG_NANOS = 4_000_000_000L;

    /** Names one entry's life. */
    record Holder(HostId host, long life) {}

    private final OrganisationId mOrganisation;
    private final long mFencing;
    private final long mOwnedSince;
    private final long mKeepNanos;
    private final Map<Holder, GrantTotals> mGrantees = new HashMap<>();
    private final LostRefill mLost = new LostRefill();
    private double mRate;
    private double mBurst;
    private double mLevel;
    private long mFilledAt;
    private boolean mWasFull;
    private long mRecalledAt;

    private Bucket(Organisation rates, OwnerLease.Held lease, long keepNanos) {
        mOrganisation = rates.id();
        mFencing = lease.fencing();
        mOwnedSince = lease.sinceNanos();
        mRate = rates.ratePerSecond();
        mBurst = rates.burst();
        mFilledAt = lease.sinceNanos();
        mRecalledAt = Long.MIN_VALUE / 2;
        mKeepNanos = keepNanos;
    }

    /**
     * Returns the bucket as of now of an organisation that was granted nothing under this lease.
     *
     * <p>Whatever earlier owners granted ended with their leases, so it was empty at worst when
     * this lease began.
     *
     * @param keepNanos longest time until a use is reported
     */
    static Bucket create(Organisation rates, OwnerLease.Held lease, long keepNanos, long now) {
        Bucket bucket = new Bucket(rates, lease, keepNanos);
        bucket.fill(now);
        return bucket;
    }

    OrganisationId organisation() {
        return mOrganisation;
    }

    long fencing() {
        return mFencing;
    }

    /** Adds what the time brought and drops what expired, in the order of their times. */
    void fill(long now) {
        long expiry = nextExpiry();
        while (expiry <= now) {
            long at = expiry;
            fillTo(Math.max(mFilledAt, at));
            mGrantees.values().removeIf(grantee -> grantee.isOver(at));
            expiry = nextExpiry();
        }
        fillTo(now);
    }

    private long nextExpiry() {
        long next = Long.MAX_VALUE;
        for (GrantTotals grantee : mGrantees.values()) {
            next = Math.min(next, grantee.expiresAt());
        }
        return next;
    }

    private void fillTo(long now) {
        double room = Math.max(0, mBurst - outstanding());
        double missing = Math.max(0, room - mLevel);
        double added = mRate * (now - mFilledAt) / SECOND_NANOS;
        if (added >= missing) {
            long fullAt = mFilledAt + (long) Math.ceil(missing / mRate * SECOND_NANOS);
            mLost.add(fullAt, now);
            mLost.forgetBefore(now - mKeepNanos);
            mWasFull = true;
        }
        mLevel = Math.min(mLevel + added, room);
        mFilledAt = now;
    }

    /** Takes other rates into force after {@link #fill}. */
    void change(Organisation rates) {
        mLost.clear();
        mRate = rates.ratePerSecond();
        mBurst = rates.burst();
        mLevel = Math.max(0, Math.min(mLevel, mBurst - outstanding()));
    }

    /** Returns the account of an entry's epoch, or null if the epoch is over. */
    GrantTotals account(Holder holder, long epoch) {
        GrantTotals grantee = mGrantees.get(holder);
        if (grantee == null || grantee.epoch() < epoch) {
            grantee = new GrantTotals(epoch);
            mGrantees.put(holder, grantee);
        }
        return grantee.epoch() == epoch ? grantee : null;
    }

    /**
     * Takes the sums that an entry tells.
     *
     * <p>Tokens used some time ago had left room that was not filled as the owner didn't know; what
     * was lost so is made good.
     */
    void settle(GrantTotals grantee, long used, long returned, long idleNanos, long now) {
        long newlyUsed = grantee.used(used);
        long newlyReturned = grantee.returned(returned);
        double credit = mLost.take(newlyUsed, now - Math.max(0, idleNanos), mRate);
        mLevel = Math.min(mLevel + newlyReturned + credit, Math.max(0, mBurst - outstanding()));
    }

    /** Moves tokens to an entry: all it needs, and at most half of the rest for what is ahead. */
    long grant(GrantTotals grantee, int need, int ahead, long expiresAt) {
        long whole = (long) Math.floor(mLevel);
        long given = Math.min(whole, need);
        given += Math.min(ahead, (whole - given) / 2);
        mLevel -= given;
        grantee.grant(given, expiresAt);
        return given;
    }

    /** Returns the whole tokens that are here. */
    long whole() {
        return (long) Math.floor(mLevel);
    }

    /** Returns the time until there is a whole token. */
    long nanosToToken() {
        double missing = Math.max(0, 1 - mLevel);
        return Math.max(1, (long) Math.ceil(missing / mRate * SECOND_NANOS));
    }

    /**
     * Tells whether the bucket may lack tokens only because its owner changed.
     *
     * <p>So until it was full once, or the backlog of the change has had time to pass.
     */
    boolean isRecovering(long now) {
        double fillNanos = mBurst / mRate * SECOND_NANOS;
        return !mWasFull && now - mOwnedSince < FILLS_TO_RECOVER * fillNanos + BACKLOG_NANOS;
    }

    /** Tells whether entries other than one hold tokens. */
    boolean isHeldElsewhere(Holder holder) {
        return mGrantees.entrySet().stream()
                .anyMatch(e -> !e.getKey().equals(holder) && e.getValue().outstanding() > 0);
    }

    /** Notes a recall unless the last was too short ago. */
    boolean mayRecall(long now, long spacing) {
        boolean may = now - mRecalledAt >= spacing;
        if (may) {
            mRecalledAt = now;
        }
        return may;
    }

    Collection<Map.Entry<Holder, GrantTotals>> grantees() {
        return mGrantees.entrySet();
    }

    /** Tells whether a new bucket would be the same. */
    boolean isForgettable(long now) {
        fill(now);
        return mGrantees.isEmpty() && mLevel >= mBurst;
    }

    private double outstanding() {
        double sum = 0;
        for (GrantTotals grantee : mGrantees.values()) {
            sum += grantee.outstanding();
        }
        return sum;
    }
}
