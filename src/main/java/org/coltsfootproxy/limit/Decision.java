package org.coltsfootproxy.limit;

import org.coltsfootproxy.base.ErrorKind;

/**
 * The decision of a {@link Limiter} on one request.
 *
 * @param retryAfterMillis time after which a refused request may be admitted; 0 if it was not
 *     refused
 */
public record Decision(Verdict verdict, long retryAfterMillis) {
    /** The kind of decision. */
    public enum Verdict {
        /** The request is admitted and has used a token. */
        ADMITTED,
        /** The request waits for the owner's answer; the listener receives the decision. */
        WAIT,
        /** The organisation exceeds its rate. */
        REFUSED,
        /** The request could not be decided, for example because no owner answered in time. */
        UNAVAILABLE
    }

    /** The decision to admit a request. */
    public static final Decision ADMITTED = new Decision(Verdict.ADMITTED, 0);

    /** The decision to wait for the owner's answer. */
    public static final Decision WAIT = new Decision(Verdict.WAIT, 0);

    private static final long MILLI_NANOS = 1_000_000;

    /** Returns the refusal of a request because its organisation exceeds its rate. */
    static Decision refused(long retryNanos) {
        return new Decision(Verdict.REFUSED, toMillisRoundedUp(retryNanos));
    }

    /** Returns the refusal of a request that cannot be decided. */
    static Decision unavailable(long retryNanos) {
        return new Decision(Verdict.UNAVAILABLE, toMillisRoundedUp(retryNanos));
    }

    private static long toMillisRoundedUp(long nanos) {
        return Math.max(1, (nanos + MILLI_NANOS - 1) / MILLI_NANOS);
    }

    /** Returns the error kind to report for a refusal. */
    public ErrorKind errorKind() {
        return verdict == Verdict.REFUSED ? ErrorKind.RATE_EXCEEDED : ErrorKind.OVERLOADED;
    }
}
