package org.coltsfootproxy.message;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * What an agent says became of a leased item.
 *
 * @param status HTTP status of the target's answer, 0 if there was none
 * @param body body of the target's answer, empty if there was none
 * @param error error for people, empty if there was none
 * @param runMillis time that the call took
 */
public record ItemReport(
        LeaseRef lease, Outcome outcome, int status, byte[] body, String error, long runMillis) {
    /** Checks the parts. */
    public ItemReport {
        checkNotNull(lease, "lease is missing");
        checkNotNull(outcome, "outcome is missing");
        checkNotNull(body, "body is missing");
        checkNotNull(error, "error is missing");
    }

    private static final byte[] NO_BODY = {};

    /** How a leased item ended. */
    public enum Outcome {
        /** The target answered; the result is to be kept. */
        DONE,
        /** The target refused for good; another attempt is of no use. */
        REFUSED,
        /** The attempt failed and another one does no harm. */
        ATTEMPT_FAILED,
        /** The call failed, may have run and may not be repeated. */
        MAY_HAVE_RUN,
        /** The item did not run and nobody is to blame; it counts as no attempt. */
        GIVEN_BACK
    }

    /** Returns the report of an item that did not run. */
    public static ItemReport givenBack(LeaseRef lease) {
        return new ItemReport(lease, Outcome.GIVEN_BACK, 0, NO_BODY, "", 0);
    }

    /** Returns the report of a call that ended without an answer. */
    public static ItemReport failed(LeaseRef lease, Outcome outcome, String error, long runMillis) {
        return new ItemReport(lease, outcome, 0, NO_BODY, error, runMillis);
    }
}
