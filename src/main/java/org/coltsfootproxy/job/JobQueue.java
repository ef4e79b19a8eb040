package org.coltsfootproxy.job;

import java.util.Comparator;
import java.util.PriorityQueue;
import org.agrona.collections.IntArrayList;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.message.ItemState;
import org.coltsfootproxy.message.JobState;

/** The items of one running job that wait for a lease. */
final class JobQueue {
    private final LedgerJob mJob;
    private final IntArrayList mReturned = new IntArrayList();
    private final PriorityQueue<Pause> mPauses =
            new PriorityQueue<>(
                    Comparator.comparingLong(Pause::untilEpochMillis)
                            .thenComparingInt(Pause::item));
    private int mNext;

    private record Pause(int item, long untilEpochMillis) {}

    private JobQueue(LedgerJob job, int next) {
        mJob = job;
        mNext = next;
    }

    /** Returns the queue of all items of a job that was just accepted. */
    static JobQueue ofNew(LedgerJob job) {
        return new JobQueue(job, 0);
    }

    /** Returns a queue that items are put back into one by one. */
    static JobQueue empty(LedgerJob job) {
        return new JobQueue(job, job.items().size());
    }

    LedgerJob job() {
        return mJob;
    }

    OrganisationId organisation() {
        return mJob.organisation();
    }

    /** Puts an item back to wait for its turn, or for the end of its pause. */
    void putBack(int item) {
        ItemTable.Trouble trouble = mJob.items().trouble(item);
        if (trouble == null) {
            mReturned.addInt(item);
        } else {
            mPauses.add(new Pause(item, trouble.notBeforeEpochMillis()));
        }
    }

    /** Tells whether {@link #take} would find something that looks ready. */
    boolean hasReady(long epochMillis) {
        return mJob.state() == JobState.RUNNING
                && (mNext < mJob.items().size()
                        || !mReturned.isEmpty()
                        || (!mPauses.isEmpty()
                                && mPauses.peek().untilEpochMillis() <= epochMillis));
    }

    /** Returns the next item that waits and is not in a pause, or -1. */
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
        if (!mPauses.isEmpty() && mPauses.peek().untilEpochMillis() <= epochMillis) {
            return mPauses.poll().item();
        }
        return mReturned.isEmpty() ? mNext++ : mReturned.popInt();
    }

    /** Returns when the first pause ends, or {@link Long#MAX_VALUE}. */
    long nextPauseEndEpochMillis() {
        return mPauses.isEmpty() ? Long.MAX_VALUE : mPauses.peek().untilEpochMillis();
    }
}
