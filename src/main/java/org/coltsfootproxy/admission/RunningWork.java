package org.coltsfootproxy.admission;

/** Work that is running at the target. */
final class RunningWork {
    private static final long NO_CHUNK = Long.MIN_VALUE;

    private final Work mWork;
    private final long mStartedAt;
    private final double mChargedNanos;
    private long mLastChunkAt = NO_CHUNK;
    private boolean mStopping;

    RunningWork(Work work, long startedAt, double chargedNanos) {
        mWork = work;
        mStartedAt = startedAt;
        mChargedNanos = chargedNanos;
    }

    Work work() {
        return mWork;
    }

    long startedAt() {
        return mStartedAt;
    }

    /** Returns the service time that the organisation was charged at the start, in nanoseconds. */
    double chargedNanos() {
        return mChargedNanos;
    }

    boolean isBatch() {
        return !mWork.isOnline();
    }

    boolean isStopping() {
        return mStopping;
    }

    void stop() {
        mStopping = true;
    }

    /** Reports the latency of an arriving chunk to the limit. */
    void recordChunk(ConcurrencyLimit limit, int inFlight, long now) {
        if (mLastChunkAt == NO_CHUNK) {
            limit.recordFirstChunk(now - mStartedAt, inFlight, now);
        } else {
            limit.recordGap(now - mLastChunkAt, inFlight, now);
        }
        mLastChunkAt = now;
    }
}
