package org.coltsfootproxy.entry;

import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.Ran;

/**
 * Why a request got no answer of a target.
 *
 * @param ran what is known about whether it ran
 * @param retryAfterMillis when the caller may come back, in milliseconds; 0 if unknown
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

    /** Returns this failure as told to the caller if an earlier try may have run. */
    public Failure knowing(boolean maybeRun) {
        return maybeRun && ran == Ran.NO
                ? new Failure(kind, Ran.MAYBE, detail, retryAfterMillis)
                : this;
    }

    /** Returns this failure as a lost answer if an earlier try may have run. */
    public Failure lostIf(boolean maybeRun) {
        return maybeRun && ran == Ran.NO ? mayHaveRun(ErrorKind.ANSWER_LOST, detail) : this;
    }
}
