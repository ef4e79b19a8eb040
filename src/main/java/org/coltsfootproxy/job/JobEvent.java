package org.coltsfootproxy.job;

import org.coltsfootproxy.base.StateChart;
import org.coltsfootproxy.message.JobState;

/** Events of a job; the state chart {@code batch-job.yaml} defines their transitions. */
enum JobEvent {
    /** All items were received. */
    ACCEPT,
    /** No item is waiting or started any more. */
    END,
    /** An operator decided to run an item again. */
    REOPEN,
    /** The job was cancelled on request. */
    CANCEL;

    static final StateChart<JobState, JobEvent> CHART =
            StateChart.load("batch-job", JobState.class, JobEvent.class);
}
