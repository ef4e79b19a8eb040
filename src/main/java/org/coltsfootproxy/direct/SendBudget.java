package org.coltsfootproxy.direct;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * How often a request has been sent, and how many of the targets that its route allows it has
 * reached.
 *
 * <p>A target counts as reached, also if it refuses the request, unless nothing was written to it.
 */
final class SendBudget {
    /**
     * Maximum number of times that a request is sent, including the sends of which nothing was
     * written.
     */
    private static final int MAX_SENDS = 6;

    private final int mMaxTargets;
    private int mSends;
    private int mTargets;
    private boolean mIsLastSendCounted;

    private SendBudget(int maxTargets) {
        mMaxTargets = maxTargets;
    }

    /**
     * Returns the budget of a request that has not been sent.
     *
     * @param maxTargets maximum number of targets that the request may reach, at least 1
     */
    static SendBudget of(int maxTargets) {
        checkArgument(maxTargets > 0, "maxTargets %s is below 1", maxTargets);
        return new SendBudget(maxTargets);
    }

    /** Notes a send to a target that the request has not been sent to before. */
    void sent() {
        mSends++;
        mTargets++;
        mIsLastSendCounted = true;
    }

    /** Notes that nothing of the request was written to the target of the last send. */
    void lastSendNotWritten() {
        if (mIsLastSendCounted) {
            mTargets--;
            mIsLastSendCounted = false;
        }
    }

    /** Returns whether the request may be sent to another target. */
    boolean allowsSend() {
        return mTargets < mMaxTargets && mSends < MAX_SENDS;
    }

    int sends() {
        return mSends;
    }

    /** Returns the number of targets that the request has reached. */
    int targets() {
        return mTargets;
    }

    int maxTargets() {
        return mMaxTargets;
    }
}
