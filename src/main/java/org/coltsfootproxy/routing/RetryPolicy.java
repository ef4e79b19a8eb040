package org.coltsfootproxy.routing;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.EnumSet;
import java.util.Set;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.Ran;

/**
 * Decides whether a failed try goes to a further agent.
 *
 * <p>The first row that matches decides: a begun answer is cut; a fault of the request itself or a
 * caller gone is final; what may have run and isn't repeatable is answered as such; then tries,
 * time and budget must be left.
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

    /** What to do after a failed try. */
    public enum Verdict {
        /** Send it to another agent. */
        RETRY,
        /** Tell the caller the error with what is known about the run. */
        ANSWER,
        /** Break the connection, as the answer has begun. */
        CUT
    }

    private final int mMaxTries;
    private final long mMinLeftNanos;
    private final RetryBudget mBudget;

    private RetryPolicy(int maxTries, long minLeftNanos, RetryBudget budget) {
        checkArgument(maxTries >= 1, "max tries %s", maxTries);
        checkArgument(minLeftNanos >= 0, "least time left %s", minLeftNanos);
        mMaxTries = maxTries;
        mMinLeftNanos = minLeftNanos;
        mBudget = budget;
    }

    /**
     * Returns a policy.
     *
     * @param maxTries most tries of one request
     * @param minLeftNanos time that must be left for a further try to make sense
     */
    public static RetryPolicy of(int maxTries, long minLeftNanos, RetryBudget budget) {
        return new RetryPolicy(maxTries, minLeftNanos, budget);
    }

    /** Notes the first try of a request. */
    public void firstTry() {
        mBudget.request();
    }

    /** Decides after a failed try and takes from the budget if it is to be sent again. */
    public Verdict after(FailedTry failed) {
        if (failed.answerBegun()) {
            return Verdict.CUT;
        }
        boolean isSafe = failed.ran() == Ran.NO || failed.repeatable();
        boolean isPossible = failed.tries() < mMaxTries && failed.leftNanos() >= mMinLeftNanos;
        boolean mayRetry = isSafe && isPossible && RETRIABLE.contains(failed.kind());
        return mayRetry && mBudget.tryRetry() ? Verdict.RETRY : Verdict.ANSWER;
    }
}
