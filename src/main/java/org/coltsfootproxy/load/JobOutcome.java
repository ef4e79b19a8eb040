package org.coltsfootproxy.load;

import java.util.List;

/**
 * What became of one batch job. Times are nanoseconds from the start of the run.
 *
 * @param job the job of the scenario
 * @param jobId id under which it was submitted
 * @param accepted whether the submission was answered with 202 or 200
 * @param detail what the submission was answered with
 * @param state last state that was seen
 * @param items results as they could be read at the end
 * @param submittedNanos when it was submitted
 * @param finishedNanos when it was first seen finished, or 0
 * @param runsAfterCancel runs of its items at the targets a while after the cancel, or -1
 */
record JobOutcome(
        LoadScenario.BatchJob job,
        String jobId,
        boolean accepted,
        String detail,
        String state,
        List<Item> items,
        long submittedNanos,
        long finishedNanos,
        long runsAfterCancel) {
    /**
     * One result.
     *
     * @param id id of the item
     * @param state state of the item
     * @param answered the id that the target's answer names
     */
    record Item(String id, String state, String answered) {}
}
