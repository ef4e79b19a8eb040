package org.coltsfootproxy.load;

import org.coltsfootproxy.base.Ran;

/**
 * What became of one online request. Times are nanoseconds from the start of the run.
 *
 * @param id id of the request, which the target records
 * @param stream place of its stream in the scenario
 * @param intendedNanos when it should have been sent
 * @param sentNanos when it was sent
 * @param firstNanos when the first byte of the answer's body came, or the end without one
 * @param endNanos when the answer ended
 * @param status HTTP status, or 0 if there was no whole head
 * @param kind error kind of a refusal, or a word for what broke; empty for success
 * @param ran what the answer said about the run
 * @param fault what was wrong with an answer that claimed to be whole; empty if nothing
 */
record Outcome(
        String id,
        int stream,
        long intendedNanos,
        long sentNanos,
        long firstNanos,
        long endNanos,
        int status,
        String kind,
        Ran ran,
        String fault) {
    private static final int OK = 200;
    private static final int TOO_MANY_REQUESTS = 429;

    /** Tells whether the whole answer to the request came. */
    boolean isAnswered() {
        return status == OK && kind.isEmpty();
    }

    /** Tells whether the request was refused for its organisation's rate. */
    boolean isOverRate() {
        return status == TOO_MANY_REQUESTS;
    }

    /** Returns the time from when the request should have been sent to the first byte. */
    long firstLatency() {
        return firstNanos - intendedNanos;
    }

    /** Returns the time from when the request should have been sent to the end of its answer. */
    long latency() {
        return endNanos - intendedNanos;
    }
}
