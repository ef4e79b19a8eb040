package org.coltsfootproxy.limit;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Settings of the {@link GrantLimiter}.
 *
 * @param grantLifetimeNanos maximum time that granted tokens may be used
 * @param prefetchNanos time span whose expected demand an entry prefetches tokens for; 0 to ask for
 *     each request
 * @param idleNanos time without use after which an entry returns its tokens
 * @param askTimeoutNanos time after which an unanswered token request is repeated; it doubles with
 *     each repetition, up to four times the initial value
 * @param maxWaitNanos maximum time that a request waits for the owner's answer
 * @param recallTimeoutNanos maximum time that the owner waits for recalled tokens
 * @param minIntervalNanos minimum time between two recalls, maximum pause before the next token
 *     request after a refusal, and retry time reported for undecided requests
 * @param maxWaiting maximum number of requests of one organisation that wait at one entry
 */
public record LimitSettings(
        long grantLifetimeNanos,
        long prefetchNanos,
        long idleNanos,
        long askTimeoutNanos,
        long maxWaitNanos,
        long recallTimeoutNanos,
        long minIntervalNanos,
        int maxWaiting) {
    private static final long MILLI_NANOS = 1_000_000;

    /** Validates the settings. */
    public LimitSettings {
        checkArgument(
                grantLifetimeNanos > 0,
                "grantLifetimeNanos %s must be positive",
                grantLifetimeNanos);
        checkArgument(prefetchNanos >= 0, "prefetchNanos %s must not be negative", prefetchNanos);
        checkArgument(
                idleNanos > 0 && idleNanos < grantLifetimeNanos,
                "idleNanos %s must be positive and below grantLifetimeNanos",
                idleNanos);
        checkArgument(askTimeoutNanos > 0, "askTimeoutNanos %s must be positive", askTimeoutNanos);
        checkArgument(maxWaitNanos > 0, "maxWaitNanos %s must be positive", maxWaitNanos);
        checkArgument(
                recallTimeoutNanos > 0,
                "recallTimeoutNanos %s must be positive",
                recallTimeoutNanos);
        checkArgument(
                minIntervalNanos > 0, "minIntervalNanos %s must be positive", minIntervalNanos);
        checkArgument(maxWaiting > 0, "maxWaiting %s must be positive", maxWaiting);
    }

    /** Returns the default settings, which prefetch tokens for the expected demand. */
    public static LimitSettings defaults() {
        return new LimitSettings(
                2_000 * MILLI_NANOS,
                200 * MILLI_NANOS,
                250 * MILLI_NANOS,
                20 * MILLI_NANOS,
                3_000 * MILLI_NANOS,
                10 * MILLI_NANOS,
                20 * MILLI_NANOS,
                1_024);
    }

    /** Returns these settings without prefetch: the owner is asked for each request. */
    public LimitSettings withoutPrefetch() {
        return withPrefetch(0);
    }

    /** Returns these settings with the given prefetch time. */
    public LimitSettings withPrefetch(long nanos) {
        return new LimitSettings(
                grantLifetimeNanos,
                nanos,
                idleNanos,
                askTimeoutNanos,
                maxWaitNanos,
                recallTimeoutNanos,
                minIntervalNanos,
                maxWaiting);
    }
}
