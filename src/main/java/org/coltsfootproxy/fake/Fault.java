package org.coltsfootproxy.fake;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * A fault that a target shows.
 *
 * @param every shown by each request whose number is divisible by this; at least 1
 * @param delayMillis how late a late answer is
 */
public record Fault(Kind kind, int every, long delayMillis) {
    /** No fault. */
    public static final Fault NONE = new Fault(Kind.NONE, 1, 0);

    /** What goes wrong. */
    public enum Kind {
        /** Nothing. */
        NONE,
        /** The request runs, but no answer is ever sent. */
        SILENCE,
        /** The request runs; its answer breaks off in the middle. */
        CUT,
        /** The answer comes late. */
        LATE,
        /** The request isn't run but answered with status 500. */
        ERROR,
        /** The connection is closed before the request runs. */
        REFUSE,
        /** A second answer, which nobody asked for, follows the first. */
        CROSSED
    }

    /** Checks the components. */
    public Fault {
        checkArgument(every >= 1, "every %s is not positive", every);
        checkArgument(delayMillis >= 0, "delayMillis %s is negative", delayMillis);
    }

    /** Returns a fault that each request shows. */
    public static Fault always(Kind kind) {
        return new Fault(kind, 1, 0);
    }

    /** Returns what goes wrong with the request of a number. */
    Kind at(long number) {
        return number % every == 0 ? kind : Kind.NONE;
    }
}
