package org.coltsfootproxy.load;

import org.coltsfootproxy.base.Ran;

/**
 * The outcome of one online request as its caller observed it. Times are nanoseconds from the start
 * of the run.
 *
 * @param id id of the request, under which targets record its runs
 * @param streamIndex index of its stream in {@link LoadScenario#online}
 * @param intendedNanos scheduled sending time
 * @param sentNanos actual sending time
 * @param firstByteNanos time of the first byte of the answer's body, or {@code endNanos} if there
 *     was none
 * @param endNanos end of the answer
 * @param status HTTP status, or 0 if the request failed without a complete response
 * @param kind error kind of a refusal, or the kind of failure; empty for success
 * @param ran whether the request ran, according to the answer
 * @param defect how a seemingly complete answer differs from the expected one; empty if correct
 */
record Outcome(
        String id,
        int streamIndex,
        long intendedNanos,
        long sentNanos,
        long firstByteNanos,
        long endNanos,
        int status,
        String kind,
        Ran ran,
        String defect) {
    private static final int OK = 200;
    private static final int TOO_MANY_REQUESTS = 429;

    /** Returns whether the request succeeded with a complete response. */
    boolean isAnswered() {
        return status == OK && kind.isEmpty();
    }

    /** Returns whether the request was refused because of its organisation's rate limit. */
    boolean isOverRate() {
        return status == TOO_MANY_REQUESTS;
    }

    /** Returns the time from the scheduled sending to the first byte of the answer. */
    long firstByteLatencyNanos() {
        return firstByteNanos - intendedNanos;
    }

    /** Returns the time from the scheduled sending to the end of the answer. */
    long latencyNanos() {
        return endNanos - intendedNanos;
    }
}
