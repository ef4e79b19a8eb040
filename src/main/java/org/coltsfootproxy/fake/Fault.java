package org.coltsfootproxy.fake;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A fault that a stand-in target injects into its handling of requests.
 *
 * @param every the fault affects each request whose number is divisible by this; at least 1
 * @param delayMillis delay of an answer for {@link Kind#LATE}
 */
public record Fault(Kind kind, int every, long delayMillis) {
    /** No fault. */
    public static final Fault NONE = new Fault(Kind.NONE, 1, 0);

    /** The kind of a fault. */
    public enum Kind {
        /** No fault. */
        NONE,
        /** The request runs, but is never answered. */
        SILENCE,
        /** The request runs, but its connection is closed in the middle of the answer. */
        CUT,
        /** The request starts to run after a delay, so that its answer is late. */
        LATE,
        /** The request does not run and is answered with status 500. */
        ERROR,
        /** The connection is closed before the request runs. */
        REFUSE,
        /** An unsolicited second answer follows the first one. */
        CROSSED
    }

    /** Validates the components. */
    public Fault {
        checkArgument(every >= 1, "every %s is not positive", every);
        checkArgument(delayMillis >= 0, "delayMillis %s is negative", delayMillis);
    }

    /** Returns a fault that affects each request. */
    public static Fault always(Kind kind) {
        return new Fault(kind, 1, 0);
    }

    /** Returns the kind of fault for the request with the given number. */
    Kind kindFor(long number) {
        return number % every == 0 ? kind : Kind.NONE;
    }
}
