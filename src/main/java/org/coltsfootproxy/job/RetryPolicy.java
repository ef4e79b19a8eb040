package org.coltsfootproxy.job;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How often a failed item is attempted, with exponential backoff.
 *
 * @param attempts maximum attempts of one item, 1 to 100
 * @param initialBackoffMillis backoff after the first failure; it doubles with each further failure
 * @param maxBackoffMillis maximum backoff
 */
public record RetryPolicy(int attempts, long initialBackoffMillis, long maxBackoffMillis) {
    private static final int MAX_ATTEMPTS = 100;
    private static final int MAX_DOUBLINGS = 20;

    public RetryPolicy {
        checkArgument(
                attempts > 0 && attempts <= MAX_ATTEMPTS,
                "attempts %s is outside 1 to 100",
                attempts);
        checkArgument(
                initialBackoffMillis > 0,
                "initial backoff %s ms is not positive",
                initialBackoffMillis);
        checkArgument(
                maxBackoffMillis >= initialBackoffMillis,
                "maximum backoff %s ms is below the initial backoff",
                maxBackoffMillis);
    }

    /** Returns five attempts with backoffs from 2 s to 2 min. */
    public static RetryPolicy defaults() {
        return new RetryPolicy(5, 2_000, 120_000);
    }

    /** Returns the backoff after the given number of failures, at least 1. */
    long backoffMillis(int failures) {
        int doublings = Math.min(failures - 1, MAX_DOUBLINGS);
        return Math.min(maxBackoffMillis, initialBackoffMillis << doublings);
    }
}
