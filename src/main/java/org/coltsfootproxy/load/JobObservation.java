package org.coltsfootproxy.load;

import java.util.List;

/**
 * The outcome of one batch job as the load tool observed it. Times are nanoseconds from the start
 * of the run.
 *
 * @param job the job of the scenario
 * @param jobId the id under which it was submitted
 * @param accepted whether the submission was answered with 202 or 200
 * @param detail status and body of the response to the submission
 * @param state last state observed
 * @param items results read after the job ended or the run timed out
 * @param submittedNanos time of the submission
 * @param finishedNanos time when it was first observed to have ended, or 0 if it was not
 * @param runsAfterCancel number of runs of its items that targets had recorded a grace period after
 *     the cancellation, or -1 if unknown or not cancelled
 */
record JobObservation(
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
     * The result of one item.
     *
     * @param id id of the item
     * @param state state of the item
     * @param answeredId the id in the target's answer, which names the item it belongs to
     */
    record Item(String id, String state, String answeredId) {}
}
