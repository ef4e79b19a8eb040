package org.coltsfootproxy.load;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/** Carries one batch job through a run; blocks its thread. */
final class JobRun {
    private static final long POLL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);
    private static final long CANCEL_GRACE_NANOS = TimeUnit.SECONDS.toNanos(3);
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final LoadScenario.BatchJob mJob;
    private final JobClient mClient;
    private final TargetControl mTargets;
    private final String mPrefix;
    private final long mStartNanos;
    private final long mEndNanos;

    /**
     * Makes a run.
     *
     * @param startNanos start of the whole run
     * @param endNanos time from there at which the job is looked at for the last time
     */
    JobRun(
            LoadScenario.BatchJob job,
            JobClient client,
            TargetControl targets,
            String prefix,
            long startNanos,
            long endNanos) {
        mJob = job;
        mClient = client;
        mTargets = targets;
        mPrefix = prefix;
        mStartNanos = startNanos;
        mEndNanos = endNanos;
    }

    /** Submits the job when it is due and returns what became of it. */
    JobOutcome run() throws InterruptedException {
        waitUntil(nanos(mJob.atSeconds()));
        long submitted = now();
        JobClient.Answer answer = mClient.submit();
        if (!JobClient.isAccepted(answer)) {
            return outcome(answer, "", List.of(), submitted, 0, -1);
        }
        long runsAfterCancel = mJob.cancelAtSeconds() > 0 ? cancel() : -1;
        String state = mClient.state();
        while (!isEnded(state) && now() < mEndNanos) {
            LockSupport.parkNanos(POLL_NANOS);
            state = mClient.state();
        }
        long finished = isEnded(state) ? now() : 0;
        return outcome(answer, state, mClient.results(), submitted, finished, runsAfterCancel);
    }

    private JobOutcome outcome(
            JobClient.Answer answer,
            String state,
            List<JobOutcome.Item> items,
            long submitted,
            long finished,
            long runsAfterCancel) {
        return new JobOutcome(
                mJob,
                mClient.jobId(),
                JobClient.isAccepted(answer),
                answer.status() + " " + answer.body().strip(),
                state,
                items,
                submitted,
                finished,
                runsAfterCancel);
    }

    /** Cancels the job and returns how often its items had run a while after that. */
    private long cancel() throws InterruptedException {
        waitUntil(nanos(mJob.cancelAtSeconds()));
        JobClient.Answer answer = mClient.cancel();
        if (!JobClient.isAccepted(answer)) {
            return -1;
        }
        waitUntil(now() + CANCEL_GRACE_NANOS);
        TargetControl.Seen seen = mTargets.read();
        return seen.whole() ? seen.runsOf(mPrefix) : -1;
    }

    private static boolean isEnded(String state) {
        return state.equals("finished") || state.equals("cancelled");
    }

    private static long nanos(double seconds) {
        return (long) (seconds * NANOS_PER_SECOND);
    }

    private long now() {
        return System.nanoTime() - mStartNanos;
    }

    private void waitUntil(long nanos) {
        while (now() < nanos) {
            LockSupport.parkNanos(nanos - now());
        }
    }
}
