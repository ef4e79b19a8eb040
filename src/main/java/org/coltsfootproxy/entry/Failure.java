package org.coltsfootproxy.entry;

import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.Ran;

/**
 * Why a request got no answer from a target.
 *
 * @param ran whether the request ran, as far as is known
 * @param retryAfterMillis time after which the caller may retry, in milliseconds; 0 if unknown
 */
public record Failure(ErrorKind kind, Ran ran, String detail, long retryAfterMillis) {
    /** Returns the failure of a request that has not run. */
    public static Failure notRun(ErrorKind kind, String detail, long retryAfterMillis) {
        return new Failure(kind, Ran.NO, detail, retryAfterMillis);
    }

    /** Returns the failure of a request that may have run. */
    public static Failure mayHaveRun(ErrorKind kind, String detail) {
        return new Failure(kind, Ran.MAYBE, detail, 0);
    }

    /**
     * Returns this failure, changed to {@link Ran#MAYBE} if the last attempt has not run but an
     * earlier one may have.
     */
    public Failure withPossibleRun(boolean earlierMayHaveRun) {
        return earlierMayHaveRun && ran == Ran.NO
                ? new Failure(kind, Ran.MAYBE, detail, retryAfterMillis)
                : this;
    }

    /**
     * Returns this failure, changed to {@link ErrorKind#ANSWER_LOST} if the last attempt has not
     * run but an earlier one may have.
     */
    public Failure asAnswerLost(boolean earlierMayHaveRun) {
        return earlierMayHaveRun && ran == Ran.NO
                ? mayHaveRun(ErrorKind.ANSWER_LOST, detail)
                : this;
    }
}
