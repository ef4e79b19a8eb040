package org.coltsfootproxy.message;

import org.coltsfootproxy.base.OrganisationId;

/**
 * Status of a batch job.
 *
 * <p>The numbers from {@code waiting} to {@code cancelled} count the items in the {@link ItemState}
 * of the same name. Times are in milliseconds since the epoch.
 *
 * @param received number of items received so far
 * @param waiting items that wait or, if repeatable, run under a lease
 * @param started items that are not repeatable and have permission to run
 * @param done items completed
 * @param failed items that failed for good
 * @param mayHaveRun items that an operator has to settle
 * @param cancelled items that the cancellation of the job kept from running
 * @param acceptedEpochMillis when the job was accepted, 0 if it has not been
 * @param finishedEpochMillis when the job finished or was cancelled, 0 if it has not
 * @param estimateEpochMillis when the job is expected to finish, 0 if unknown
 */
public record JobStatus(
        OrganisationId organisation,
        JobSpec spec,
        JobState state,
        int received,
        int waiting,
        int started,
        int done,
        int failed,
        int mayHaveRun,
        int cancelled,
        long acceptedEpochMillis,
        long finishedEpochMillis,
        long estimateEpochMillis) {
    /** Returns this status with the given estimate, 0 for unknown. */
    public JobStatus withEstimate(long epochMillis) {
        return new JobStatus(
                organisation,
                spec,
                state,
                received,
                waiting,
                started,
                done,
                failed,
                mayHaveRun,
                cancelled,
                acceptedEpochMillis,
                finishedEpochMillis,
                epochMillis);
    }

    /** Returns whether the job finished, or is expected to finish, after its deadline. */
    public boolean isLate() {
        long end = finishedEpochMillis != 0 ? finishedEpochMillis : estimateEpochMillis;
        return end > spec.deadlineEpochMillis();
    }
}
