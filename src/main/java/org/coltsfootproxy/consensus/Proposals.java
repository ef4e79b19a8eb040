package org.coltsfootproxy.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.message.LogEntry;

/** Proposals that are queued for the log, and those in the log that are not yet committed. */
final class Proposals {
    /** A command or member list to append, and its completion; null if nobody waits. */
    record Proposal(LogEntry.Kind kind, byte[] command, Proposer.Completion done) {
        /** Returns the approximate size of the proposal in memory. */
        int bytes() {
            return command.length + PROPOSAL_OVERHEAD_BYTES;
        }
    }

    /** A proposal in the log, with the time at which it was appended. */
    record Uncommitted(Proposer.Completion done, int bytes, long appendedNanos) {}

    private static final int PROPOSAL_OVERHEAD_BYTES = 64;

    private final int mMaxBytes;
    private final Deque<Proposal> mQueue = new ArrayDeque<>();
    private final TreeMap<Long, Uncommitted> mUncommitted = new TreeMap<>();
    private int mQueuedBytes;
    private long mUncommittedBytes;

    Proposals(int maxBytes) {
        mMaxBytes = maxBytes;
    }

    /**
     * Returns whether a queued proposal may be appended. None is appended while the uncommitted
     * proposals are as large as the queue may get, so that slow followers cannot make the log in
     * memory grow without limit.
     */
    boolean isReady() {
        return !mQueue.isEmpty() && mUncommittedBytes < mMaxBytes;
    }

    /** Returns whether no proposal is queued or uncommitted. */
    boolean isEmpty() {
        return mQueue.isEmpty() && mUncommitted.isEmpty();
    }

    /** Queues a proposal, or returns false if the queue is full. */
    boolean offer(Proposal proposal) {
        if (mQueuedBytes + proposal.bytes() > mMaxBytes && !mQueue.isEmpty()) {
            return false;
        }
        mQueue.add(proposal);
        mQueuedBytes += proposal.bytes();
        return true;
    }

    /** Removes and returns proposals of at most {@code maxBytes}, but at least one if any. */
    List<Proposal> take(int maxBytes) {
        List<Proposal> taken = new ArrayList<>();
        int bytes = 0;
        while (!mQueue.isEmpty()) {
            bytes += mQueue.peek().command().length;
            if (!taken.isEmpty() && bytes > maxBytes) {
                break;
            }
            Proposal next = mQueue.poll();
            mQueuedBytes -= next.bytes();
            taken.add(next);
        }
        return taken;
    }

    /** Records that a proposal was appended at {@code index}. */
    void appended(long index, Proposal proposal, long nowNanos) {
        mUncommitted.put(index, new Uncommitted(proposal.done(), proposal.bytes(), nowNanos));
        mUncommittedBytes += proposal.bytes();
    }

    /** Removes and returns the proposal that waits for the entry at {@code index}. */
    Optional<Uncommitted> committed(long index) {
        Optional<Uncommitted> waiting = Optional.ofNullable(mUncommitted.remove(index));
        mUncommittedBytes -= waiting.map(Uncommitted::bytes).orElse(0);
        return waiting;
    }

    /**
     * Fails all proposals: those in the log with COMMIT_UNKNOWN, as they may still be committed,
     * and queued ones with {@code queuedKind}.
     */
    void failAll(ErrorKind queuedKind) {
        List<Proposal> queued = List.copyOf(mQueue);
        List<Map.Entry<Long, Uncommitted>> waiting = List.copyOf(mUncommitted.entrySet());
        mQueue.clear();
        mQueuedBytes = 0;
        mUncommitted.clear();
        mUncommittedBytes = 0;
        waiting.forEach(entry -> entry.getValue().done().failed(ErrorKind.COMMIT_UNKNOWN));
        queued.forEach(proposal -> proposal.done().failed(queuedKind));
    }
}
