package org.coltsfootproxy.direct;

import static com.google.common.primitives.Doubles.isFinite;

import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

/**
 * The limit on calls that a target has named or that holds while it is cold, as a token bucket that
 * all hosts debit.
 *
 * <p>This host debits its own calls at once and those of other hosts when their reports arrive. The
 * bucket may become negative by what others start meanwhile; this debt is refilled before this host
 * starts another call. Besides, {@link ColdLimit} binds each host alone.
 */
final class TargetRateLimit {
    /** Lowest rate that is kept to, so that a call now and then shows whether the limit is over. */
    private static final double MIN_PER_SECOND = 0.1;

    /** Time of the limit that a full bucket holds besides one call, for the next crest. */
    private static final double BURST_SECONDS = 1;

    /** Time after which even the largest debt is refilled. */
    private static final double MAX_DEBT_SECONDS = 4;

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final ColdLimit mCold;
    private OptionalDouble mNamed = OptionalDouble.empty();
    private double mColdPerSecond = Double.POSITIVE_INFINITY;
    private double mLevel;
    private long mFilledAt;
    private long mKnownSince;

    TargetRateLimit() {
        this(ColdLimit.none());
    }

    TargetRateLimit(ColdLimit cold) {
        mCold = cold;
    }

    /** Returns the limit in calls a second; empty if there is none. */
    OptionalDouble perSecond() {
        double perSecond = rate();
        return isFinite(perSecond) ? OptionalDouble.of(perSecond) : OptionalDouble.empty();
    }

    /** Returns the limit that the target has named, in calls a second; empty if it names none. */
    OptionalDouble named() {
        return mNamed;
    }

    /** Returns what a cold target allows, and what its service allows this host in any case. */
    ColdLimit cold() {
        return mCold;
    }

    private double rate() {
        return Math.min(mNamed.orElse(Double.POSITIVE_INFINITY), mColdPerSecond);
    }

    private boolean isLimited() {
        return isFinite(rate());
    }

    /** Applies that the target has become cold or is no longer cold. */
    private void updateCold(long nowNanos) {
        double coldPerSecond = mCold.perSecond(nowNanos);
        if (coldPerSecond != mColdPerSecond) {
            prepareChange(nowNanos);
            mColdPerSecond = Math.max(MIN_PER_SECOND, coldPerSecond);
        }
    }

    /** Fills the bucket at the rate until now; empties it if there was no limit. */
    private void prepareChange(long nowNanos) {
        mLevel = isLimited() ? level(nowNanos) : 0;
        mFilledAt = nowNanos;
    }

    /**
     * Sets the limit that the target has named, to this host or another one.
     *
     * @param perSecond calls a second from all hosts together
     */
    void set(double perSecond, long nowNanos) {
        updateCold(nowNanos);
        prepareChange(nowNanos);
        if (mNamed.isEmpty()) {
            mKnownSince = nowNanos;
        }
        mNamed = OptionalDouble.of(Math.max(MIN_PER_SECOND, perSecond));
    }

    /**
     * Lifts the limit because an answer does not name it, unless the answer's call was sent before
     * the limit was known; such an answer may be older than the limit.
     */
    void notNamed(long sentAt) {
        if (sentAt - mKnownSince > 0) {
            mNamed = OptionalDouble.empty();
        }
    }

    /** Debits calls that this host or another one has started. */
    void started(int calls, long nowNanos) {
        updateCold(nowNanos);
        if (isLimited()) {
            prepareChange(nowNanos);
            double maxDebt = MAX_DEBT_SECONDS * rate();
            mLevel = Math.max(mLevel - calls, Math.min(mLevel, -maxDebt));
        }
    }

    private double level(long nowNanos) {
        double added = rate() * (nowNanos - mFilledAt) / NANOS_PER_SECOND;
        return Math.min(fullLevel(), mLevel + added);
    }

    private double fullLevel() {
        return 1 + BURST_SECONDS * rate();
    }

    /** Returns which fraction of a full bucket is used up; 0 without a limit. */
    double usedFraction(long nowNanos) {
        updateCold(nowNanos);
        return !isLimited() ? 0 : 1 - Math.max(0, level(nowNanos)) / fullLevel();
    }

    /**
     * Returns how many calls this host may start now; {@link Integer#MAX_VALUE} without a limit.
     */
    int allowedCalls(long nowNanos) {
        return Math.min(sharedAllowedCalls(nowNanos), mCold.allowedCalls(nowNanos));
    }

    /** Returns how many calls all hosts together may start now, whichever of them does. */
    int sharedAllowedCalls(long nowNanos) {
        updateCold(nowNanos);
        return isLimited() ? (int) Math.max(0, level(nowNanos)) : Integer.MAX_VALUE;
    }

    /** Returns the time until this host may start a call, in nanoseconds; 0 if it may now. */
    long waitNanos(long nowNanos) {
        return Math.max(sharedWaitNanos(nowNanos), mCold.waitNanos(nowNanos));
    }

    private long sharedWaitNanos(long nowNanos) {
        if (sharedAllowedCalls(nowNanos) > 0) {
            return 0;
        }
        double missing = 1 - level(nowNanos);
        return (long) Math.ceil(missing / rate() * NANOS_PER_SECOND);
    }
}
