package org.coltsfootproxy.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.Function;
import org.coltsfootproxy.base.OrganisationId;

/**
 * A weighted fair queue over the organisations of one traffic class.
 *
 * <p>The organisation that has received the least service relative to its weight is served next. A
 * start is charged with the expected service time at once; the charge is corrected to the actual
 * time at the end. Operations take logarithmic time in the number of waiting organisations and
 * requests.
 */
final class WeightedFairQueue {
    private static final Comparator<OrganisationQueue> BY_SERVICE =
            Comparator.comparingDouble(OrganisationQueue::normalisedService)
                    .thenComparing(OrganisationQueue::organisation);
    private static final Comparator<OrganisationQueue> BY_COUNT =
            Comparator.comparingDouble(OrganisationQueue::countPerWeight)
                    .thenComparing(OrganisationQueue::organisation);
    private static final Comparator<OrganisationQueue> BY_BYTES =
            Comparator.comparingDouble(OrganisationQueue::bytesPerWeight)
                    .thenComparing(OrganisationQueue::organisation);
    private static final Comparator<QueuedWork> BY_DEADLINE =
            Comparator.comparingLong((QueuedWork queued) -> queued.work().deadlineNanos())
                    .thenComparingLong(QueuedWork::sequence);

    private final Map<OrganisationId, OrganisationQueue> mQueues = new HashMap<>();
    private final TreeSet<OrganisationQueue> mByService = new TreeSet<>(BY_SERVICE);
    private final TreeSet<OrganisationQueue> mByCount = new TreeSet<>(BY_COUNT);
    private final TreeSet<OrganisationQueue> mByBytes = new TreeSet<>(BY_BYTES);
    private final TreeSet<QueuedWork> mByDeadline = new TreeSet<>(BY_DEADLINE);
    private final Map<Long, QueuedWork> mByCall = new HashMap<>();
    private long mSequence;
    private long mBytes;
    private double mVirtualTime;

    int size() {
        return mByCall.size();
    }

    boolean contains(long call) {
        return mByCall.containsKey(call);
    }

    void add(Work work) {
        OrganisationQueue queue =
                mQueues.computeIfAbsent(work.organisation(), OrganisationQueue::new);
        QueuedWork queued = new QueuedWork(work, mSequence++, queue);
        removeFromIndexes(queue);
        if (queue.isEmpty()) {
            queue.raiseServiceTo(mVirtualTime);
        }
        queue.add(queued);
        addToIndexes(queue);
        mByDeadline.add(queued);
        mByCall.put(work.call(), queued);
        mBytes += work.bytes();
    }

    /** Removes and returns the oldest work of the organisation furthest below its share. */
    Optional<Work> poll(double expectedNanos) {
        if (mByService.isEmpty()) {
            return Optional.empty();
        }
        OrganisationQueue queue = mByService.first();
        mVirtualTime = Math.max(mVirtualTime, queue.normalisedService());
        QueuedWork next = queue.oldest();
        remove(next);
        charge(next.work().organisation(), expectedNanos);
        return Optional.of(next.work());
    }

    /** Charges service time to an organisation; a negative time is a refund. */
    void charge(OrganisationId organisation, double nanos) {
        OrganisationQueue queue = mQueues.get(organisation);
        if (queue != null) {
            removeFromIndexes(queue);
            queue.charge(nanos);
            addToIndexes(queue);
        }
    }

    /** Removes idle organisations without debt, whose state equals that of a new one. */
    void removeIdle() {
        mQueues.values()
                .removeIf(queue -> queue.isEmpty() && queue.normalisedService() <= mVirtualTime);
    }

    int organisations() {
        return mQueues.size();
    }

    Optional<Work> cancel(long call) {
        Optional<QueuedWork> queued = Optional.ofNullable(mByCall.get(call));
        queued.ifPresent(this::remove);
        return queued.map(QueuedWork::work);
    }

    /**
     * Removes the newest work of the organisations furthest over their share to fit both bounds.
     */
    List<Work> shed(int maxCount, long maxBytes) {
        List<Work> shed = new ArrayList<>();
        while (mByCall.size() > maxCount) {
            shed.add(removeNewest(mByCount.last()));
        }
        while (mBytes > maxBytes) {
            shed.add(removeNewest(mByBytes.last()));
        }
        return shed;
    }

    private Work removeNewest(OrganisationQueue queue) {
        QueuedWork newest = queue.newest();
        remove(newest);
        return newest.work();
    }

    /** Removes the work whose deadline is at or before {@code now}. */
    List<Work> expire(long now) {
        return removeWhile(first -> first.work().deadlineNanos() <= now);
    }

    List<Work> clear() {
        return removeWhile(first -> true);
    }

    private List<Work> removeWhile(Function<QueuedWork, Boolean> condition) {
        List<Work> removed = new ArrayList<>();
        while (!mByDeadline.isEmpty() && condition.apply(mByDeadline.first())) {
            QueuedWork first = mByDeadline.first();
            remove(first);
            removed.add(first.work());
        }
        return removed;
    }

    long nextDeadline() {
        return mByDeadline.isEmpty() ? Long.MAX_VALUE : mByDeadline.first().work().deadlineNanos();
    }

    private void remove(QueuedWork queued) {
        OrganisationQueue queue = queued.queue();
        removeFromIndexes(queue);
        queue.remove(queued);
        addToIndexes(queue);
        mByDeadline.remove(queued);
        mByCall.remove(queued.work().call());
        mBytes -= queued.work().bytes();
    }

    private void removeFromIndexes(OrganisationQueue queue) {
        if (!queue.isEmpty()) {
            mByService.remove(queue);
            mByCount.remove(queue);
            mByBytes.remove(queue);
        }
    }

    private void addToIndexes(OrganisationQueue queue) {
        if (!queue.isEmpty()) {
            mByService.add(queue);
            mByCount.add(queue);
            mByBytes.add(queue);
        }
    }
}
