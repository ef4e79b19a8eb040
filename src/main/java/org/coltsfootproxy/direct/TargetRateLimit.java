package org.coltsfootproxy.direct;

import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

/**
 * The limit on calls that a target has named, as a token bucket that all hosts debit.
 *
 * <p>This host debits its own calls at once and those of other hosts when their reports arrive. The
 * bucket may become negative by what others start meanwhile; this debt is refilled before this host
 * starts another call.
 */
final class TargetRateLimit {
    /** Lowest rate that is kept to, so that a call now and then shows whether the limit is over. */
    private static final double MIN_PER_SECOND = 0.1;

    /** Time of the limit that a full bucket holds besides one call, for the next crest. */
    private static final double BURST_SECONDS = 1;

    /** Time after which even the largest debt is refilled. */
    private static final double MAX_DEBT_SECONDS = 4;

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private OptionalDouble mPerSecond = OptionalDouble.empty();
    private double mLevel;
    private long mFilledAt;
    private long mKnownSince;

    /** Returns the limit in calls a second; empty if there is none. */
    OptionalDouble perSecond() {
        return mPerSecond;
    }

    /**
     * Sets the limit that the target has named, to this host or another one.
     *
     * @param perSecond calls a second from all hosts together
     */
    void set(double perSecond, long nowNanos) {
        if (mPerSecond.isEmpty()) {
            mLevel = 0;
            mKnownSince = nowNanos;
        } else {
            fill(nowNanos);
        }
        mFilledAt = nowNanos;
        mPerSecond = OptionalDouble.of(Math.max(MIN_PER_SECOND, perSecond));
    }

    /**
     * Lifts the limit because an answer does not name it, unless the answer's call was sent before
     * the limit was known; such an answer may be older than the limit.
     */
    void notNamed(long sentAt) {
        if (sentAt - mKnownSince > 0) {
            mPerSecond = OptionalDouble.empty();
        }
    }

    /** Debits calls that this host or another one has started. */
    void started(int calls, long nowNanos) {
        if (mPerSecond.isPresent()) {
            fill(nowNanos);
            double maxDebt = MAX_DEBT_SECONDS * mPerSecond.getAsDouble();
            mLevel = Math.max(mLevel - calls, Math.min(mLevel, -maxDebt));
        }
    }

    private void fill(long nowNanos) {
        mLevel = level(nowNanos);
        mFilledAt = nowNanos;
    }

    private double level(long nowNanos) {
        double added = mPerSecond.getAsDouble() * (nowNanos - mFilledAt) / NANOS_PER_SECOND;
        return Math.min(fullLevel(), mLevel + added);
    }

    private double fullLevel() {
        return 1 + BURST_SECONDS * mPerSecond.getAsDouble();
    }

    /** Returns which fraction of a full bucket is used up; 0 without a limit. */
    double usedFraction(long nowNanos) {
        return mPerSecond.isEmpty() ? 0 : 1 - Math.max(0, level(nowNanos)) / fullLevel();
    }

    /**
     * Returns how many calls this host may start now; {@link Integer#MAX_VALUE} without a limit.
     */
    int allowedCalls(long nowNanos) {
        return mPerSecond.isEmpty() ? Integer.MAX_VALUE : (int) Math.max(0, level(nowNanos));
    }

    /** Returns the time until this host may start a call, in nanoseconds; 0 if it may now. */
    long waitNanos(long nowNanos) {
        if (allowedCalls(nowNanos) > 0) {
            return 0;
        }
        double missing = 1 - level(nowNanos);
        return (long) Math.ceil(missing / mPerSecond.getAsDouble() * NANOS_PER_SECOND);
    }
}
