package org.coltsfootproxy.config;

import java.util.ArrayList;
import java.util.List;
import org.coltsfootproxy.node.Node;

/**
 * Gathers renewals, so that one quorum confirmation in an interval serves all of them.
 *
 * <p>A renewal counts only for a confirmation that begins after it arrived. If that one fails, as
 * during an election, the renewal waits for the next: its sender would come again much later.
 *
 * @param <T> what describes a renewal
 */
public final class QuorumBatch<T> {
    /** Most renewals that wait; further ones get no answer, and their senders come again. */
    private static final int MAX_WAITING = 20_000;

    private final QuorumRead mQuorum;
    private final long mIntervalNanos;
    private final long mPatienceNanos;
    private List<T> mWaiting = new ArrayList<>();
    private final List<T> mConfirmed = new ArrayList<>();
    private long mRunning;
    private boolean mIsRunning;
    private long mStartedAt;
    private boolean mHasStarted;

    private QuorumBatch(QuorumRead quorum, ConfigTiming timing) {
        mQuorum = quorum;
        mIntervalNanos = timing.confirmNanos();
        mPatienceNanos = timing.silenceNanos();
    }

    /** Returns a batch of nothing. */
    public static <T> QuorumBatch<T> create(QuorumRead quorum, ConfigTiming timing) {
        return new QuorumBatch<>(quorum, timing);
    }

    /** Adds a renewal; if too many wait, it is dropped. */
    public void add(T renewal) {
        if (mWaiting.size() < MAX_WAITING) {
            mWaiting.add(renewal);
        }
    }

    /** Begins a confirmation if one is due. */
    public void tick(long nowNanos) {
        if (mWaiting.isEmpty() || mHasStarted && nowNanos - nextTickNanos() < 0) {
            return;
        }
        mHasStarted = true;
        mStartedAt = nowNanos;
        mIsRunning = true;
        mRunning++;
        List<T> batch = mWaiting;
        mWaiting = new ArrayList<>();
        mQuorum.read(new Completion(mRunning, batch));
    }

    /** Returns when the next confirmation may begin, or {@link Node#NEVER} if nothing waits. */
    public long nextTickNanos() {
        if (mWaiting.isEmpty()) {
            return Node.NEVER;
        }
        return mStartedAt + (mIsRunning ? mPatienceNanos : mIntervalNanos);
    }

    /** Takes the renewals that were confirmed since the last call. */
    public List<T> takeConfirmed() {
        List<T> taken = List.copyOf(mConfirmed);
        mConfirmed.clear();
        return taken;
    }

    private final class Completion implements QuorumRead.Done {
        private final long mNumber;
        private final List<T> mBatch;

        Completion(long number, List<T> batch) {
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
            List<T> waiting = mWaiting;
            mWaiting = new ArrayList<>();
            mBatch.forEach(QuorumBatch.this::add);
            waiting.forEach(QuorumBatch.this::add);
            end();
        }

        private void end() {
            if (mNumber == mRunning) {
                mIsRunning = false;
            }
        }
    }
}
