package org.coltsfootproxy.config;

import java.util.ArrayList;
import java.util.List;
import org.coltsfootproxy.node.Node;

/**
 * Batches renewals, so that one quorum confirmation per interval serves all of them.
 *
 * <p>A renewal is confirmed only by a confirmation that begins after it arrived. If that one fails,
 * for example during an election, the renewal is kept for the next one, since its sender would not
 * retry until much later.
 *
 * @param <T> the description of a renewal
 */
public final class QuorumReadBatcher<T> {
    /** Maximum number of waiting renewals. Further ones get no answer, and their senders retry. */
    private static final int MAX_WAITING = 20_000;

    private final QuorumRead mQuorum;
    private final long mIntervalNanos;
    private final long mTimeoutNanos;
    private List<T> mWaiting = new ArrayList<>();
    private final List<T> mConfirmed = new ArrayList<>();
    private long mLatestRead;
    private boolean mIsReadInFlight;
    private long mStartedNanos;
    private boolean mHasStarted;

    private QuorumReadBatcher(QuorumRead quorum, ConfigTiming timing) {
        mQuorum = quorum;
        mIntervalNanos = timing.confirmNanos();
        mTimeoutNanos = timing.silenceNanos();
    }

    /** Returns a batcher without renewals. */
    public static <T> QuorumReadBatcher<T> create(QuorumRead quorum, ConfigTiming timing) {
        return new QuorumReadBatcher<>(quorum, timing);
    }

    /** Adds a renewal, or drops it if too many are waiting. */
    public void add(T renewal) {
        if (mWaiting.size() < MAX_WAITING) {
            mWaiting.add(renewal);
        }
    }

    /** Starts a confirmation if one is due. */
    public void tick(long nowNanos) {
        if (mWaiting.isEmpty() || mHasStarted && nowNanos - nextTickNanos() < 0) {
            return;
        }
        mHasStarted = true;
        mStartedNanos = nowNanos;
        mIsReadInFlight = true;
        mLatestRead++;
        List<T> batch = mWaiting;
        mWaiting = new ArrayList<>();
        mQuorum.read(new BatchRead(mLatestRead, batch));
    }

    /**
     * Returns the time at which the next confirmation may start, or {@link Node#NEVER} if no
     * renewal is waiting.
     */
    public long nextTickNanos() {
        if (mWaiting.isEmpty()) {
            return Node.NEVER;
        }
        return mStartedNanos + (mIsReadInFlight ? mTimeoutNanos : mIntervalNanos);
    }

    /** Removes and returns the renewals confirmed since the last call. */
    public List<T> takeConfirmed() {
        List<T> taken = List.copyOf(mConfirmed);
        mConfirmed.clear();
        return taken;
    }

    private final class BatchRead implements QuorumRead.Callback {
        private final long mNumber;
        private final List<T> mBatch;

        BatchRead(long number, List<T> batch) {
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
            mBatch.forEach(QuorumReadBatcher.this::add);
            waiting.forEach(QuorumReadBatcher.this::add);
            end();
        }

        private void end() {
            if (mNumber == mLatestRead) {
                mIsReadInFlight = false;
            }
        }
    }
}
