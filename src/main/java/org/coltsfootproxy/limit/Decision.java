package org.coltsfootproxy.limit;

import org.coltsfootproxy.base.ErrorKind;

/**
 * The answer of a limiter about one request.
 *
 * @param retryAfterMillis when a refused request may pass, in milliseconds, else 0
 */
public record Decision(Verdict verdict, long retryAfterMillis) {
    /** What becomes of the request. */
    public enum Verdict {
        /** It passes; its token is spent. */
        ADMITTED,
        /** It waits for an answer of the owner; the decision follows by the listener. */
        WAIT,
        /** Its organisation is over its rate. */
        REFUSED,
        /** The owner gave no answer in time. */
        UNAVAILABLE
    }

    /** The decision to let a request pass. */
    public static final Decision ADMITTED = new Decision(Verdict.ADMITTED, 0);

    /** The decision that is still to come. */
    public static final Decision WAIT = new Decision(Verdict.WAIT, 0);

    private static final long MILLI_NANOS = 1_000_000;

    /** Returns the refusal of a request over its rate. */
    static Decision refused(long retryNanos) {
        return new Decision(Verdict.REFUSED, millis(retryNanos));
    }

    /** Returns the refusal for want of an owner. */
    static Decision unavailable(long retryNanos) {
        return new Decision(Verdict.UNAVAILABLE, millis(retryNanos));
    }

    private static long millis(long nanos) {
        return Math.max(1, (nanos + MILLI_NANOS - 1) / MILLI_NANOS);
    }

    /** Returns the error kind of a refusal. */
    public ErrorKind errorKind() {
        return verdict == Verdict.REFUSED ? ErrorKind.RATE_EXCEEDED : ErrorKind.OVERLOADED;
    }
}
