package org.coltsfootproxy.message;

import org.coltsfootproxy.base.OrganisationId;

/**
 * Progress of a batch job.
 *
 * @param received items received so far
 * @param waiting items that wait or run under a lease
 * @param started items that may not be repeated and have leave to run
 * @param done items completed
 * @param failed items that will never be done
 * @param mayHaveRun items that an operator has to settle
 * @param cancelled items that the job's cancel kept from running
 * @param acceptedEpochMillis when the job was accepted, 0 if it is not yet
 * @param finishedEpochMillis when it finished or was cancelled, 0 if it is not yet
 * @param estimateEpochMillis when it is expected to finish, 0 if unknown
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
    /** Returns the status with an estimate of when the job finishes. */
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

    /** Tells whether the job is expected to finish, or finished, past its deadline. */
    public boolean isLate() {
        long end = finishedEpochMillis != 0 ? finishedEpochMillis : estimateEpochMillis;
        return end > spec.deadlineEpochMillis();
    }
}
