package org.coltsfootproxy.message;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * An agent's report on a leased item.
 *
 * @param status HTTP status of the target's answer, 0 if there was none
 * @param body body of the target's answer, empty if there was none
 * @param error human-readable error message, empty if there was none
 * @param runMillis duration of the call in milliseconds
 */
public record ItemReport(
        LeaseRef lease, Outcome outcome, int status, byte[] body, String error, long runMillis) {
    /** Checks that no component is null. */
    public ItemReport {
        checkNotNull(lease, "lease is missing");
        checkNotNull(outcome, "outcome is missing");
        checkNotNull(body, "body is missing");
        checkNotNull(error, "error is missing");
    }

    private static final byte[] NO_BODY = {};

    /** Outcome of a leased item. */
    public enum Outcome {
        /** The target answered; the result is to be stored. */
        DONE,
        /** The target refused the item permanently; a retry would not help. */
        REFUSED,
        /** The attempt failed, and a retry is safe. */
        ATTEMPT_FAILED,
        /** The call failed after it may have run, and the item is not repeatable. */
        MAY_HAVE_RUN,
        /** The item did not run for a reason unrelated to it; this does not count as an attempt. */
        GIVEN_BACK
    }

    /** Returns the report on an item that did not run. */
    public static ItemReport givenBack(LeaseRef lease) {
        return new ItemReport(lease, Outcome.GIVEN_BACK, 0, NO_BODY, "", 0);
    }

    /** Returns the report on a call that ended without an answer. */
    public static ItemReport failed(LeaseRef lease, Outcome outcome, String error, long runMillis) {
        return new ItemReport(lease, outcome, 0, NO_BODY, error, runMillis);
    }
}
