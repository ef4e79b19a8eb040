package org.coltsfootproxy.routing;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.EnumSet;
import java.util.Set;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.Ran;

/**
 * Decides whether a failed attempt is retried at another agent.
 *
 * <p>If the answer has started, it is cut off. The error is returned to the caller if the request
 * itself is at fault, if its caller has disconnected, or if it may have run and is not repeatable.
 * Otherwise the request is retried if attempts, time and retry budget are left.
 */
public final class RetryPolicy {
    private static final Set<ErrorKind> RETRIABLE =
            EnumSet.of(
                    ErrorKind.TARGET_FAILED,
                    ErrorKind.TARGET_TIMEOUT,
                    ErrorKind.ANSWER_LOST,
                    ErrorKind.ANSWER_CUT,
                    ErrorKind.OVERLOADED,
                    ErrorKind.NO_TARGET,
                    ErrorKind.STOPPING,
                    ErrorKind.FENCED,
                    ErrorKind.INTERNAL);

    /** The decision after a failed attempt. */
    public enum Verdict {
        /** Send the request to another agent. */
        RETRY,
        /** Return the error to the caller, including whether the request ran as far as is known. */
        ANSWER,
        /** Close the caller's connection, because the answer has started. */
        CUT
    }

    private final int mMaxAttempts;
    private final long mMinRemainingNanos;
    private final RetryBudget mBudget;

    private RetryPolicy(int maxAttempts, long minRemainingNanos, RetryBudget budget) {
        checkArgument(maxAttempts >= 1, "maxAttempts %s must be at least 1", maxAttempts);
        checkArgument(
                minRemainingNanos >= 0,
                "minRemainingNanos %s must not be negative",
                minRemainingNanos);
        mMaxAttempts = maxAttempts;
        mMinRemainingNanos = minRemainingNanos;
        mBudget = budget;
    }

    /**
     * Returns a policy.
     *
     * @param maxAttempts maximum number of attempts of one request
     * @param minRemainingNanos minimum time until the deadline for a retry
     */
    public static RetryPolicy of(int maxAttempts, long minRemainingNanos, RetryBudget budget) {
        return new RetryPolicy(maxAttempts, minRemainingNanos, budget);
    }

    /** Records the first attempt of a request. */
    public void recordFirstAttempt() {
        mBudget.recordRequest();
    }

    /** Returns the decision on a failed attempt; a retry takes a token from the budget. */
    public Verdict after(FailedAttempt failed) {
        if (failed.answerStarted()) {
            return Verdict.CUT;
        }
        boolean isSafe = failed.ran() == Ran.NO || failed.repeatable();
        boolean isPossible =
                failed.attempts() < mMaxAttempts && failed.remainingNanos() >= mMinRemainingNanos;
        boolean mayRetry = isSafe && isPossible && RETRIABLE.contains(failed.kind());
        return mayRetry && mBudget.tryRetry() ? Verdict.RETRY : Verdict.ANSWER;
    }
}
