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

/** Proposals that wait to enter the log, and those in the log that wait for their commit. */
final class Proposals {
    /** One proposal. */
    record Proposal(LogEntry.Kind kind, byte[] command, Proposer.Completion done) {
        /** Returns about how many bytes the proposal takes in memory. */
        int bytes() {
            return command.length + OVERHEAD_BYTES;
        }
    }

    /** A proposal in the log, with the time at which it entered. */
    record Waiting(Proposer.Completion done, int bytes, long sinceNanos) {}

    private static final int OVERHEAD_BYTES = 64;

    private final int mMaxBytes;
    private final Deque<Proposal> mQueue = new ArrayDeque<>();
    private final TreeMap<Long, Waiting> mByIndex = new TreeMap<>();
    private int mQueuedBytes;
    private long mWaitingBytes;

    Proposals(int maxBytes) {
        mMaxBytes = maxBytes;
    }

    /**
     * Tells whether a queued proposal may enter the log: not while followers that are slow hold up
     * as much as may be queued, so that the log in memory stays bounded.
     */
    boolean isReady() {
        return !mQueue.isEmpty() && mWaitingBytes < mMaxBytes;
    }

    /** Tells whether nothing waits at all. */
    boolean isEmpty() {
        return mQueue.isEmpty() && mByIndex.isEmpty();
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

    /** Takes the proposals that fit one write, at least one. */
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

    /** Notes that a proposal entered the log. */
    void entered(long index, Proposal proposal, long nowNanos) {
        mByIndex.put(index, new Waiting(proposal.done(), proposal.bytes(), nowNanos));
        mWaitingBytes += proposal.bytes();
    }

    /** Returns who waits for the entry at {@code index}, once. */
    Optional<Waiting> committed(long index) {
        Optional<Waiting> waiting = Optional.ofNullable(mByIndex.remove(index));
        mWaitingBytes -= waiting.map(Waiting::bytes).orElse(0);
        return waiting;
    }

    /** Fails all that waits: what is in the log may still be committed. */
    void failAll(ErrorKind queuedKind) {
        List<Proposal> queued = List.copyOf(mQueue);
        List<Map.Entry<Long, Waiting>> waiting = List.copyOf(mByIndex.entrySet());
        mQueue.clear();
        mQueuedBytes = 0;
        mByIndex.clear();
        mWaitingBytes = 0;
        waiting.forEach(entry -> entry.getValue().done().failed(ErrorKind.COMMIT_UNKNOWN));
        queued.forEach(proposal -> proposal.done().failed(queuedKind));
    }
}
