package org.coltsfootproxy.quarantine;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.concurrent.TimeUnit;

/** How long something is quarantined, and when a call that must be served may try it. */
final class QuarantineTerm {
    /** Time from the beginning of the quarantine to the first trial. */
    private static final long FIRST_TRIAL_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Maximum number of times that this time is doubled: up to 85 minutes. */
    private static final int MAX_DOUBLINGS = 10;

    /** Time after a failed trial within which further failures are reports of the same one. */
    private static final long SAME_FAILURE_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final long mEnd;
    private long mLastFailureAt;
    private int mFailures;

    QuarantineTerm(long end, long nowNanos) {
        mEnd = end;
        mLastFailureAt = nowNanos;
    }

    long end() {
        return mEnd;
    }

    /** Notes that a target has crashed on a call in spite of the quarantine. */
    void trialFailed(long nowNanos) {
        if (nowNanos - mLastFailureAt >= SAME_FAILURE_NANOS) {
            mLastFailureAt = nowNanos;
            mFailures++;
        }
    }

    /**
     * Returns whether a trial is due.
     *
     * @param jitter fraction by which this host waits longer, at least 0
     */
    boolean isTrialDue(double jitter, long nowNanos) {
        checkArgument(jitter >= 0, "jitter %s is negative", jitter);
        long pause = FIRST_TRIAL_NANOS << Math.min(mFailures, MAX_DOUBLINGS);
        return nowNanos - mLastFailureAt >= (1 + jitter) * pause;
    }
}
