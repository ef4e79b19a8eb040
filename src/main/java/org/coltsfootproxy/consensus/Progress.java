package org.coltsfootproxy.consensus;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;

/** The leader's view of how far one other member has replicated the log. */
final class Progress {
    /** Marks a member that has not answered; halved so that subtracting it cannot overflow. */
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

    /** Returns the send time of the latest message that the member has answered. */
    long answeredNanos() {
        return mAnsweredNanos;
    }

    void answered(long sentAtNanos) {
        mAnsweredNanos = Math.max(mAnsweredNanos, sentAtNanos);
    }

    /** Returns whether another append may be sent before earlier ones are acknowledged. */
    boolean hasRoomInFlight(int maxInFlight) {
        return !mProbing && mInFlight.size() < maxInFlight;
    }

    /** Records that entries up to {@code lastIndex} were sent. */
    void sent(long lastIndex) {
        mNextIndex = lastIndex + 1;
        mInFlight.add(lastIndex);
    }

    /** Records that the member has synced the log up to {@code index}. */
    void matched(long index) {
        mMatchIndex = Math.max(mMatchIndex, index);
        mNextIndex = Math.max(mNextIndex, mMatchIndex + 1);
        mProbing = false;
        mInFlight.removeIf(last -> last <= mMatchIndex);
    }

    /**
     * Moves the next index back because the member does not have the preceding entry; returns
     * whether it moved.
     */
    boolean retryFrom(long retryIndex) {
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

    void beginTransfer(SnapshotTransfer transfer) {
        mTransfer = Optional.of(transfer);
        mInFlight.clear();
    }

    /** Ends the transfer; replication continues with the entry after the snapshot. */
    void endTransfer() {
        mTransfer.ifPresent(transfer -> mNextIndex = transfer.index() + 1);
        mTransfer = Optional.empty();
        mProbing = true;
    }

    /**
     * Returns whether the member keeps up: it synced up to what was the end of the log at an
     * earlier call within {@code limitNanos} of that call.
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
