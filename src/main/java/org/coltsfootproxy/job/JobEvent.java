package org.coltsfootproxy.job;

import org.coltsfootproxy.base.StateChart;
import org.coltsfootproxy.message.JobState;

/** What can happen to a job; the chart {@code batch-job.yaml} says what it leads to. */
enum JobEvent {
    /** All its items were received. */
    ACCEPT,
    /** No item is left to run. */
    END,
    /** An item is to run again. */
    REOPEN,
    /** Its organisation stopped it. */
    CANCEL;

    static final StateChart<JobState, JobEvent> CHART =
            StateChart.load("batch-job", JobState.class, JobEvent.class);
}
