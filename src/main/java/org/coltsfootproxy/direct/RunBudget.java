package org.coltsfootproxy.direct;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How often a request has been sent, and how many of the runs that its route allows this has used.
 *
 * <p>A send counts as a run unless it is known that the target did not run the request.
 */
final class RunBudget {
    /**
     * Maximum number of times that a request is sent, including the sends that full targets refuse
     * without running it.
     */
    private static final int MAX_SENDS = 6;

    private final int mMaxRuns;
    private int mSends;
    private int mRuns;
    private boolean mIsLastSendCounted;

    private RunBudget(int maxRuns) {
        mMaxRuns = maxRuns;
    }

    /**
     * Returns the budget of a request that has not been sent.
     *
     * @param maxRuns maximum number of targets that may run the request, at least 1
     */
    static RunBudget of(int maxRuns) {
        checkArgument(maxRuns > 0, "maxRuns %s is below 1", maxRuns);
        return new RunBudget(maxRuns);
    }

    /** Notes a send. */
    void sent() {
        mSends++;
        mRuns++;
        mIsLastSendCounted = true;
    }

    /** Notes that the target of the last send has not run the request. */
    void lastSendNotRun() {
        if (mIsLastSendCounted) {
            mRuns--;
            mIsLastSendCounted = false;
        }
    }

    /** Returns whether the request may be sent to another target, which may then run it. */
    boolean allowsSend() {
        return mRuns < mMaxRuns && mSends < MAX_SENDS;
    }

    int sends() {
        return mSends;
    }

    /** Returns the number of sends that count as runs. */
    int runs() {
        return mRuns;
    }

    int maxRuns() {
        return mMaxRuns;
    }
}
