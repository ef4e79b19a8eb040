package org.coltsfootproxy.config;

import java.util.ArrayList;
import java.util.List;
import org.coltsfootproxy.base.HostId;

/**
 * Gathers renewals, so that one quorum confirmation serves all subscribers of a control host.
 *
 * <p>A renewal counts only for a confirmation that begins after it arrived.
 */
final class ConfirmationBatch {
    /** Most renewals that wait; further ones get no answer, and their senders come again. */
    private static final int MAX_WAITING = 20_000;

    private final QuorumRead mQuorum;
    private final long mIntervalNanos;
    private final long mPatienceNanos;
    private List<Renewal> mWaiting = new ArrayList<>();
    private final List<Renewal> mConfirmed = new ArrayList<>();
    private long mRunning;
    private boolean mIsRunning;
    private long mStartedAt;
    private boolean mHasStarted;

    /** A renewal to confirm. */
    record Renewal(HostId host, long sequence) {}

    ConfirmationBatch(QuorumRead quorum, ConfigTiming timing) {
        mQuorum = quorum;
        mIntervalNanos = timing.confirmNanos();
        mPatienceNanos = timing.silenceNanos();
    }

    void add(Renewal renewal) {
        if (mWaiting.size() < MAX_WAITING) {
            mWaiting.add(renewal);
        }
    }

    /** Begins a confirmation if one is due. */
    void tick(long nowNanos) {
        if (mWaiting.isEmpty() || mHasStarted && nowNanos - nextTickNanos() < 0) {
            return;
        }
        mHasStarted = true;
        mStartedAt = nowNanos;
        mIsRunning = true;
        mRunning++;
        List<Renewal> batch = mWaiting;
        mWaiting = new ArrayList<>();
        mQuorum.read(new Completion(mRunning, batch));
    }

    /** Returns when the next confirmation may begin; meant for when a renewal waits. */
    long nextTickNanos() {
        return mStartedAt + (mIsRunning ? mPatienceNanos : mIntervalNanos);
    }

    boolean isWaiting() {
        return !mWaiting.isEmpty();
    }

    boolean hasConfirmed() {
        return !mConfirmed.isEmpty();
    }

    /** Takes the renewals that were confirmed since the last call. */
    List<Renewal> takeConfirmed() {
        List<Renewal> taken = List.copyOf(mConfirmed);
        mConfirmed.clear();
        return taken;
    }

    private final class Completion implements QuorumRead.Done {
        private final long mNumber;
        private final List<Renewal> mBatch;

        Completion(long number, List<Renewal> batch) {
            mNumber = number;
            mBatch = batch;
        }

        @Override
        public void confirmed() {
            mConfirmed.addAll(mBatch);
            end();
        }

        @Override
        public void failed() {
            end();
        }

        private void end() {
            if (mNumber == mRunning) {
                mIsRunning = false;
            }
        }
    }
}
