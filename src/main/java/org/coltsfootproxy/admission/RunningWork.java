package org.coltsfootproxy.admission;

/** Work at the target. */
final class RunningWork {
    private static final long NO_PIECE = Long.MIN_VALUE;

    private final Work mWork;
    private final long mStarted;
    private final double mCharged;
    private long mLastPiece = NO_PIECE;
    private boolean mStopping;

    RunningWork(Work work, long started, double charged) {
        mWork = work;
        mStarted = started;
        mCharged = charged;
    }

    Work work() {
        return mWork;
    }

    long started() {
        return mStarted;
    }

    /** Returns the service time that the organisation's account was charged at the start. */
    double charged() {
        return mCharged;
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

    /** Feeds the limit with what the arrival of a piece tells. */
    void piece(ConcurrencyLimit limit, int inFlight, long now) {
        if (mLastPiece == NO_PIECE) {
            limit.firstPiece(now - mStarted, inFlight, now);
        } else {
            limit.gap(now - mLastPiece, inFlight, now);
        }
        mLastPiece = now;
    }
}
