package org.coltsfootproxy.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Node;
import org.coltsfootproxy.node.StoreWrite;

/**
 * The writes that are on their way to the disk, and what is known to be synced.
 *
 * <p>After a write failed because the disk is full, nothing is written until {@link #retry}, which
 * writes all that is missing on disk at once.
 */
final class Journal {
    /** Something to do once a write is synced; dropped if the write fails. */
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

    private static final Action NOTHING = step -> {};

    private final int mGroup;
    private final long mRetryNanos;
    private final Deque<Pending> mPending = new ArrayDeque<>();
    private long mLastToken;
    private long mIssuedIndex;
    private long mSyncedIndex;
    private long mSyncedTerm;
    private boolean mFull;
    private long mRetryAtNanos = Node.NEVER;

    Journal(int group, long retryNanos, long syncedIndex, long syncedTerm) {
        mGroup = group;
        mRetryNanos = retryNanos;
        mIssuedIndex = syncedIndex;
        mSyncedIndex = syncedIndex;
        mSyncedTerm = syncedTerm;
    }

    /** Returns the last index up to which the log is synced. */
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

    /** Tells whether a write failed because the disk is full, and was not tried again since. */
    boolean isFull() {
        return mFull;
    }

    /** Returns when {@link #retry} is due. */
    long retryAtNanos() {
        return mRetryAtNanos;
    }

    /** Writes a vote or a snapshot, which leave the last index as it is. */
    void write(StoreWrite write, long term, Step step, Action synced) {
        write(write, term, mIssuedIndex, step, synced);
    }

    /** Writes entries up to {@code lastIndex}. */
    void writeEntries(StoreWrite write, long term, long lastIndex, Step step) {
        write(write, term, lastIndex, step, NOTHING);
    }

    /** Writes a snapshot that replaces the log. */
    void writeInstalled(StoreWrite write, long term, long index, Step step, Action synced) {
        truncateFrom(index + 1);
        write(write, term, index, step, synced);
    }

    private void write(StoreWrite write, long term, long lastIndex, Step step, Action synced) {
        if (!mFull) {
            issue(write, term, lastIndex, step, synced);
        }
    }

    private void issue(StoreWrite write, long term, long lastIndex, Step step, Action synced) {
        mLastToken++;
        mIssuedIndex = lastIndex;
        mPending.add(new Pending(mLastToken, term, lastIndex, synced));
        step.out().add(new Effect.Persist(mGroup, mLastToken, write));
    }

    /** Notes that entries from {@code index} on are about to be replaced. */
    void truncateFrom(long index) {
        long last = index - 1;
        mIssuedIndex = Math.min(mIssuedIndex, last);
        mSyncedIndex = Math.min(mSyncedIndex, last);
        mPending.forEach(pending -> pending.mLastIndex = Math.min(pending.mLastIndex, last));
    }

    /** Notes that all writes up to {@code token} are synced, and returns what to do now. */
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

    /** Notes that the disk is full and all pending writes are lost. */
    void full(long token, Step step) {
        if (mPending.stream().anyMatch(pending -> pending.mToken >= token)) {
            mPending.clear();
            mIssuedIndex = mSyncedIndex;
            mFull = true;
            mRetryAtNanos = step.nowNanos() + mRetryNanos;
        }
    }

    /**
     * Writes everything that is missing on disk, if it is due; writes follow as usual unless that
     * fails too.
     */
    void retry(StoreWrite.Vote vote, RaftLog log, Step step) {
        if (mRetryAtNanos <= step.nowNanos()) {
            mRetryAtNanos = Node.NEVER;
            mFull = false;
            var entries = log.slice(mSyncedIndex + 1, Integer.MAX_VALUE);
            issue(StoreWrite.of(vote, entries), vote.term(), log.lastIndex(), step, NOTHING);
        }
    }
}
