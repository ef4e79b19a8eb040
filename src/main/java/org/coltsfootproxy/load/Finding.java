package org.coltsfootproxy.load;

import java.util.List;

/**
 * What a run shows about one promise.
 *
 * @param promise the promise
 * @param verdict whether it was kept
 * @param checked how many cases were looked at
 * @param broken cases that broke it, at most {@link #MAX_EXAMPLES} of them
 */
public record Finding(String promise, Verdict verdict, long checked, List<String> broken) {
    /** Most cases that are named. */
    public static final int MAX_EXAMPLES = 10;

    /** Whether a promise was kept. */
    public enum Verdict {
        /** All cases were as promised. */
        KEPT,
        /** A case was not. */
        BROKEN,
        /** Nothing was there to look at, or a target's record is missing. */
        NOT_CHECKED
    }

    /** Returns the finding over the cases that were looked at. */
    static Finding of(String promise, long checked, List<String> broken) {
        Verdict verdict = broken.isEmpty() ? Verdict.KEPT : Verdict.BROKEN;
        return new Finding(
                promise,
                checked == 0 && broken.isEmpty() ? Verdict.NOT_CHECKED : verdict,
                checked,
                broken.stream().limit(MAX_EXAMPLES).toList());
    }
}
