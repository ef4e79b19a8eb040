package org.coltsfootproxy.job;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.agrona.collections.IntArrayList;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.message.ItemState;
import org.coltsfootproxy.message.JobState;

/** The items of one job that wait for a lease. */
final class JobQueue {
    private final LedgerJob mJob;
    private final IntArrayList mRequeued = new IntArrayList();
    private final PriorityQueue<Backoff> mBackoffs =
            new PriorityQueue<>(
                    Comparator.comparingLong(Backoff::untilEpochMillis)
                            .thenComparingInt(Backoff::item));
    private int mNext;

    private record Backoff(int item, long untilEpochMillis) {}

    private JobQueue(LedgerJob job, int next) {
        mJob = job;
        mNext = next;
    }

    /** Returns a queue of all items, for a job that was just accepted. */
    static JobQueue ofNew(LedgerJob job) {
        return new JobQueue(job, 0);
    }

    /** Returns an empty queue, into which items are put one by one. */
    static JobQueue empty(LedgerJob job) {
        return new JobQueue(job, job.items().size());
    }

    LedgerJob job() {
        return mJob;
    }

    OrganisationId organisation() {
        return mJob.organisation();
    }

    /** Queues an item again; one that has failed waits for the end of its backoff. */
    void requeue(int item) {
        ItemTable.FailureRecord failure = mJob.items().failure(item);
        if (failure == null) {
            mRequeued.addInt(item);
        } else {
            mBackoffs.add(new Backoff(item, failure.notBeforeEpochMillis()));
        }
    }

    /**
     * Returns whether {@link #take} may find an item; queued items may have ended or been leased
     * meanwhile.
     */
    boolean hasReady(long epochMillis) {
        return mJob.state() == JobState.RUNNING
                && (mNext < mJob.items().size()
                        || !mRequeued.isEmpty()
                        || (!mBackoffs.isEmpty()
                                && mBackoffs.peek().untilEpochMillis() <= epochMillis));
    }

    /** Returns the next item that is in the waiting state and not backing off, or -1. */
    int take(long epochMillis) {
        while (hasReady(epochMillis)) {
            int item = next(epochMillis);
            if (mJob.items().state(item) == ItemState.WAITING) {
                return item;
            }
        }
        return -1;
    }

    private int next(long epochMillis) {
        if (!mBackoffs.isEmpty() && mBackoffs.peek().untilEpochMillis() <= epochMillis) {
            return mBackoffs.poll().item();
        }
        return mRequeued.isEmpty() ? mNext++ : mRequeued.popInt();
    }

    /**
     * Returns when the first backoff ends, in milliseconds since 1970, or {@link Long#MAX_VALUE}.
     */
    long nextBackoffEndEpochMillis() {
        return mBackoffs.isEmpty() ? Long.MAX_VALUE : mBackoffs.peek().untilEpochMillis();
    }
}
