package org.coltsfootproxy.load;

import java.util.List;

/**
 * The result of checking one promise, that is one guarantee of the system, against a run.
 *
 * @param promise description of the guarantee
 * @param verdict whether it held
 * @param checked number of cases checked
 * @param broken descriptions of violations, at most {@link #MAX_EXAMPLES}
 */
public record Finding(String promise, Verdict verdict, long checked, List<String> broken) {
    /** Maximum number of violations described in a finding. */
    public static final int MAX_EXAMPLES = 10;

    /** Whether a promise held. */
    public enum Verdict {
        /** All checked cases satisfied the promise. */
        KEPT,
        /** At least one case violated the promise. */
        BROKEN,
        /** There was no case to check, or the record of a target was unavailable. */
        NOT_CHECKED
    }

    /** Returns the finding for the given number of checked cases and the violations among them. */
    static Finding of(String promise, long checked, List<String> broken) {
        Verdict verdict = broken.isEmpty() ? Verdict.KEPT : Verdict.BROKEN;
        return new Finding(
                promise,
                checked == 0 && broken.isEmpty() ? Verdict.NOT_CHECKED : verdict,
                checked,
                broken.stream().limit(MAX_EXAMPLES).toList());
    }
}
