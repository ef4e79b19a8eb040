package org.coltsfootproxy.job;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How often and after which pause a failed item is tried again.
 *
 * @param attempts most calls of one item, at least 1
 * @param firstPauseMillis pause after the first failure; it doubles with each further one
 * @param maxPauseMillis longest pause
 */
public record RetryPolicy(int attempts, long firstPauseMillis, long maxPauseMillis) {
    private static final int MAX_ATTEMPTS = 100;
    private static final int MAX_DOUBLINGS = 20;

    /** Checks the parts. */
    public RetryPolicy {
        checkArgument(attempts > 0 && attempts <= MAX_ATTEMPTS, "attempts %s", attempts);
        checkArgument(firstPauseMillis > 0, "first pause %s ms", firstPauseMillis);
        checkArgument(maxPauseMillis >= firstPauseMillis, "longest pause %s ms", maxPauseMillis);
    }

    /** Returns five attempts with pauses from 2 s to 2 min. */
    public static RetryPolicy defaults() {
        return new RetryPolicy(5, 2_000, 120_000);
    }

    /** Returns the pause after the given number of failures, in milliseconds. */
    long pauseMillis(int failures) {
        int doublings = Math.min(failures - 1, MAX_DOUBLINGS);
        return Math.min(maxPauseMillis, firstPauseMillis << doublings);
    }
}
