package org.coltsfootproxy.consensus;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/** What a leader knows about one other member. */
final class Progress {
    /** Stands for no answer yet; far enough back for any difference of times. */
    static final long NEVER_ANSWERED = Long.MIN_VALUE / 2;

    private final Deque<Long> mInFlight = new ArrayDeque<>();
    private long mNextIndex;
    private long mMatchIndex;
    private long mAnsweredNanos = NEVER_ANSWERED;
    private boolean mProbing = true;
    private Optional<SnapshotTransfer> mTransfer = Optional.empty();
    private long mCatchUpIndex = Long.MAX_VALUE;
    private long mCatchUpNanos;

    Progress(long nextIndex) {
        mNextIndex = nextIndex;
    }

    long nextIndex() {
        return mNextIndex;
    }

    long matchIndex() {
        return mMatchIndex;
    }

    /** Returns when the latest message that was answered had been sent. */
    long answeredNanos() {
        return mAnsweredNanos;
    }

    void answered(long sentAtNanos) {
        mAnsweredNanos = Math.max(mAnsweredNanos, sentAtNanos);
    }

    /** Tells whether entries may be sent before earlier ones are acknowledged. */
    boolean hasRoom(int window) {
        return !mProbing && mInFlight.size() < window;
    }

    /** Notes that entries up to {@code lastIndex} were sent. */
    void sent(long lastIndex) {
        mNextIndex = lastIndex + 1;
        mInFlight.add(lastIndex);
    }

    /** Notes that the member has synced the log up to {@code index}. */
    void matched(long index) {
        mMatchIndex = Math.max(mMatchIndex, index);
        mNextIndex = Math.max(mNextIndex, mMatchIndex + 1);
        mProbing = false;
        mInFlight.removeIf(last -> last <= mMatchIndex);
    }

    /** Notes that the entry before the next is missing; tells whether to try an earlier one. */
    boolean missed(long retryIndex) {
        long next = Math.max(retryIndex, mMatchIndex + 1);
        if (next >= mNextIndex) {
            return false;
        }
        mNextIndex = next;
        mProbing = true;
        mInFlight.clear();
        return true;
    }

    Optional<SnapshotTransfer> transfer() {
        return mTransfer;
    }

    void begin(SnapshotTransfer transfer) {
        mTransfer = Optional.of(transfer);
        mInFlight.clear();
    }

    /** Ends the transfer; the log goes on after the snapshot. */
    void endTransfer() {
        mTransfer.ifPresent(transfer -> mNextIndex = transfer.index() + 1);
        mTransfer = Optional.empty();
        mProbing = true;
    }

    /**
     * Tells whether the member follows closely: it has synced within {@code limitNanos} what was
     * the end of the log.
     */
    boolean hasCaughtUp(long lastIndex, long nowNanos, long limitNanos) {
        boolean reached = mMatchIndex >= mCatchUpIndex;
        boolean inTime = nowNanos - mCatchUpNanos <= limitNanos;
        if (reached && inTime) {
            return true;
        }
        if (reached || mCatchUpIndex == Long.MAX_VALUE) {
            mCatchUpIndex = lastIndex;
            mCatchUpNanos = nowNanos;
        }
        return false;
    }
}
