package org.coltsfootproxy.direct;

import java.util.concurrent.TimeUnit;

/**
 * Paces the starts of batch items of one service after a preemption.
 *
 * <p>A preemption shows that online requests need all slots. An item that started at once in the
 * next free slot would only be preempted again, and each time a target has to read its prompt and
 * output again. So no item starts for a while. After that one may start, and the number doubles
 * with each step, so that a lull is filled soon.
 */
final class StartPacer {
    /** Time after a preemption during which no item starts. */
    static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** Interval after which the number of items that may start doubles. */
    static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** Number of steps after which any number of items may start. */
    private static final int STEPS = 6;

    private final OnlinePeak mPeak = new OnlinePeak();
    private boolean mWasPreempted;
    private long mResumeAt;
    private int mStarted;

    /** Notes the number of online requests in flight at all targets of the service. */
    void observe(int online, long nowNanos) {
        mPeak.observe(online, nowNanos);
    }

    /**
     * Returns the number of slots to leave free for online requests besides those in flight, so
     * that the next fluctuation of a peak doesn't preempt what starts now.
     */
    int reserved(int online, long nowNanos) {
        return mWasPreempted ? Math.max(0, mPeak.highest(nowNanos) - online) : 0;
    }

    /** Notes that an item was preempted. */
    void preempted(long nowNanos) {
        mWasPreempted = true;
        mResumeAt = nowNanos + PAUSE_NANOS;
        mStarted = 0;
    }

    /** Notes that an item started. */
    void started() {
        mStarted++;
    }

    /** Returns whether another item may start. */
    boolean mayStart(long nowNanos) {
        long elapsed = nowNanos - mResumeAt;
        if (!mWasPreempted || elapsed >= STEPS * STEP_NANOS) {
            return true;
        }
        return elapsed >= 0 && mStarted < 1 << elapsed / STEP_NANOS;
    }
}
