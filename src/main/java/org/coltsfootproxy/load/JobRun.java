package org.coltsfootproxy.load;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Runs one batch job of a scenario from submission to results. Blocks the calling thread. */
final class JobRun {
    private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long CANCEL_GRACE_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final LoadScenario.BatchJob mJob;
    private final JobClient mClient;
    private final TargetControl mTargets;
    private final String mItemIdPrefix;
    private final long mStartNanoTime;
    private final long mEndNanos;

    /**
     * Creates the run of one job.
     *
     * @param itemIdPrefix prefix of the ids under which targets record the items
     * @param startNanoTime start of the load run, as a value of {@link System#nanoTime}
     * @param endNanos time after the start at which polling for the job's end stops
     */
    JobRun(
            LoadScenario.BatchJob job,
            JobClient client,
            TargetControl targets,
            String itemIdPrefix,
            long startNanoTime,
            long endNanos) {
        mJob = job;
        mClient = client;
        mTargets = targets;
        mItemIdPrefix = itemIdPrefix;
        mStartNanoTime = startNanoTime;
        mEndNanos = endNanos;
    }

    /** Submits the job at its time, waits for its end and returns what was observed. */
    JobObservation run() throws InterruptedException {
        waitUntil(toNanos(mJob.atSeconds()));
        long submittedNanos = elapsedNanos();
        JobClient.Response response = mClient.submit();
        if (!JobClient.isAccepted(response)) {
            return observation(response, "", List.of(), submittedNanos, 0, -1);
        }
        long runsAfterCancel = mJob.cancelAtSeconds() > 0 ? cancel() : -1;
        String state = mClient.state();
        while (!isEnded(state) && elapsedNanos() < mEndNanos) {
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
            state = mClient.state();
        }
        long finishedNanos = isEnded(state) ? elapsedNanos() : 0;
        return observation(
                response, state, mClient.results(), submittedNanos, finishedNanos, runsAfterCancel);
    }

    private JobObservation observation(
            JobClient.Response response,
            String state,
            List<JobObservation.Item> items,
            long submittedNanos,
            long finishedNanos,
            long runsAfterCancel) {
        return new JobObservation(
                mJob,
                mClient.jobId(),
                JobClient.isAccepted(response),
                response.status() + " " + response.body().strip(),
                state,
                items,
                submittedNanos,
                finishedNanos,
                runsAfterCancel);
    }

    /**
     * Cancels the job at its time and returns the number of item runs that targets had recorded
     * after the grace period, or -1 if the cancellation or a record failed.
     */
    private long cancel() throws InterruptedException {
        waitUntil(toNanos(mJob.cancelAtSeconds()));
        JobClient.Response response = mClient.cancel();
        if (!JobClient.isAccepted(response)) {
            return -1;
        }
        waitUntil(elapsedNanos() + CANCEL_GRACE_NANOS);
        TargetControl.TargetRecords records = mTargets.read();
        return records.complete() ? records.runsWithPrefix(mItemIdPrefix) : -1;
    }

    private static boolean isEnded(String state) {
        return state.equals("finished") || state.equals("cancelled");
    }

    private static long toNanos(double seconds) {
        return (long) (seconds * NANOS_PER_SECOND);
    }

    private long elapsedNanos() {
        return System.nanoTime() - mStartNanoTime;
    }

    private void waitUntil(long nanos) {
        while (elapsedNanos() < nanos) {
            LockSupport.parkNanos(nanos - elapsedNanos());
        }
    }
}
