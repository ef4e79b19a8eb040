package org.coltsfootproxy.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.LogWrite;
import org.coltsfootproxy.node.Node;

/**
 * Tracks the writes in flight to the disk, and which term and log index are synced.
 *
 * <p>After a write fails because the disk is full, no writes are issued until {@link #retry}, which
 * writes everything that is missing on disk in one write.
 */
final class WriteTracker {
    /** An action that runs once a write is synced; dropped if the write fails. */
    interface Action {
        void run(Step step);
    }

    private static final class Pending {
        private final long mToken;
        private final long mTerm;
        private final Action mAction;
        private long mLastIndex;

        Pending(long token, long term, long lastIndex, Action action) {
            mToken = token;
            mTerm = term;
            mLastIndex = lastIndex;
            mAction = action;
        }
    }

    private static final Action NO_ACTION = step -> {};

    private final int mGroup;
    private final long mRetryDelayNanos;
    private final Deque<Pending> mPending = new ArrayDeque<>();
    private long mLastToken;
    private long mIssuedIndex;
    private long mSyncedIndex;
    private long mSyncedTerm;
    private boolean mDiskFull;
    private long mRetryAtNanos = Node.NEVER;

    WriteTracker(int group, long retryDelayNanos, long syncedIndex, long syncedTerm) {
        mGroup = group;
        mRetryDelayNanos = retryDelayNanos;
        mIssuedIndex = syncedIndex;
        mSyncedIndex = syncedIndex;
        mSyncedTerm = syncedTerm;
    }

    /** Returns the index up to which the log is synced. */
    long syncedIndex() {
        return mSyncedIndex;
    }

    /** Returns the latest term that is synced. */
    long syncedTerm() {
        return mSyncedTerm;
    }

    boolean isIdle() {
        return mPending.isEmpty();
    }

    /** Returns whether a write failed because the disk is full and no retry was issued since. */
    boolean isDiskFull() {
        return mDiskFull;
    }

    /** Returns when {@link #retry} is due, or {@link Node#NEVER}. */
    long retryAtNanos() {
        return mRetryAtNanos;
    }

    /** Issues a write of a vote or a snapshot, which do not change the last index. */
    void write(LogWrite write, long term, Step step, Action synced) {
        write(write, term, mIssuedIndex, step, synced);
    }

    /** Issues a write of entries up to {@code lastIndex}. */
    void writeEntries(LogWrite write, long term, long lastIndex, Step step) {
        write(write, term, lastIndex, step, NO_ACTION);
    }

    /** Issues a write of a leader's snapshot, which replaces the log. */
    void writeInstalled(LogWrite write, long term, long index, Step step, Action synced) {
        truncateFrom(index + 1);
        write(write, term, index, step, synced);
    }

    private void write(LogWrite write, long term, long lastIndex, Step step, Action synced) {
        if (!mDiskFull) {
            issue(write, term, lastIndex, step, synced);
        }
    }

    private void issue(LogWrite write, long term, long lastIndex, Step step, Action synced) {
        mLastToken++;
        mIssuedIndex = lastIndex;
        mPending.add(new Pending(mLastToken, term, lastIndex, synced));
        step.out().add(new Effect.Persist(mGroup, mLastToken, write));
    }

    /** Stops counting entries from {@code index} on as synced, as they are about to be replaced. */
    void truncateFrom(long index) {
        long last = index - 1;
        mIssuedIndex = Math.min(mIssuedIndex, last);
        mSyncedIndex = Math.min(mSyncedIndex, last);
        mPending.forEach(pending -> pending.mLastIndex = Math.min(pending.mLastIndex, last));
    }

    /** Records that all writes up to {@code token} are synced; returns their actions. */
    List<Action> synced(long token) {
        List<Action> actions = new ArrayList<>();
        while (!mPending.isEmpty() && mPending.peek().mToken <= token) {
            Pending pending = mPending.poll();
            mSyncedIndex = Math.max(mSyncedIndex, pending.mLastIndex);
            mSyncedTerm = Math.max(mSyncedTerm, pending.mTerm);
            actions.add(pending.mAction);
        }
        return actions;
    }

    /**
     * Records that the write {@code token} failed on a full disk, and drops all pending writes.
     * Ignored if no write with this token or a later one is pending.
     */
    void onDiskFull(long token, Step step) {
        if (mPending.stream().anyMatch(pending -> pending.mToken >= token)) {
            mPending.clear();
            mIssuedIndex = mSyncedIndex;
            mDiskFull = true;
            mRetryAtNanos = step.nowNanos() + mRetryDelayNanos;
        }
    }

    /**
     * Issues one write of everything that is missing on disk, if the retry is due. Normal writes
     * resume, unless this write fails too.
     */
    void retry(LogWrite.Vote vote, RaftLog log, Step step) {
        if (mRetryAtNanos <= step.nowNanos()) {
            mRetryAtNanos = Node.NEVER;
            mDiskFull = false;
            var entries = log.slice(mSyncedIndex + 1, Integer.MAX_VALUE);
            issue(LogWrite.of(vote, entries), vote.term(), log.lastIndex(), step, NO_ACTION);
        }
    }
}
