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
 * The weighted fair queue of one class over organisations, bounded in count and bytes.
 *
 * <p>The organisation with the least service received for its weight goes next. Each start is
 * charged with the usual service time at once and corrected to the true one at the end. Every
 * operation costs the logarithm of the organisations and requests that wait.
 */
final class WeightedFairQueue {
    private static final Comparator<OrganisationQueue> BY_SERVED =
            Comparator.comparingDouble(OrganisationQueue::served)
                    .thenComparing(OrganisationQueue::organisation);
    private static final Comparator<OrganisationQueue> BY_COUNT =
            Comparator.comparingDouble(OrganisationQueue::countShare)
                    .thenComparing(OrganisationQueue::organisation);
    private static final Comparator<OrganisationQueue> BY_BYTES =
            Comparator.comparingDouble(OrganisationQueue::byteShare)
                    .thenComparing(OrganisationQueue::organisation);
    private static final Comparator<QueuedWork> BY_DEADLINE =
            Comparator.comparingLong((QueuedWork p) -> p.work().deadlineNanos())
                    .thenComparingLong(QueuedWork::sequence);

    private final Map<OrganisationId, OrganisationQueue> mLanes = new HashMap<>();
    private final TreeSet<OrganisationQueue> mByServed = new TreeSet<>(BY_SERVED);
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
        OrganisationQueue lane =
                mLanes.computeIfAbsent(work.organisation(), OrganisationQueue::new);
        QueuedWork pending = new QueuedWork(work, mSequence++, lane);
        unlink(lane);
        if (lane.isEmpty()) {
            lane.raiseTo(mVirtualTime);
        }
        lane.add(pending);
        link(lane);
        mByDeadline.add(pending);
        mByCall.put(work.call(), pending);
        mBytes += work.bytes();
    }

    /** Takes the work whose organisation is furthest below its share. */
    Optional<Work> poll(double usualNanos) {
        if (mByServed.isEmpty()) {
            return Optional.empty();
        }
        OrganisationQueue lane = mByServed.first();
        mVirtualTime = Math.max(mVirtualTime, lane.served());
        QueuedWork next = lane.oldest();
        remove(next);
        charge(next.work().organisation(), usualNanos);
        return Optional.of(next.work());
    }

    /** Adds to an organisation's account; the time may be negative. */
    void charge(OrganisationId organisation, double nanos) {
        OrganisationQueue lane = mLanes.get(organisation);
        if (lane != null) {
            unlink(lane);
            lane.charge(nanos);
            link(lane);
        }
    }

    /** Drops the accounts that the virtual time has passed, as they carry no claim or debt. */
    void forgetIdle() {
        mLanes.values().removeIf(lane -> lane.isEmpty() && lane.served() <= mVirtualTime);
    }

    int lanes() {
        return mLanes.size();
    }

    Optional<Work> cancel(long call) {
        Optional<QueuedWork> pending = Optional.ofNullable(mByCall.get(call));
        pending.ifPresent(this::remove);
        return pending.map(QueuedWork::work);
    }

    /** Removes the newest work of the organisations furthest over their share until both fit. */
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

    private Work removeNewest(OrganisationQueue lane) {
        QueuedWork newest = lane.newest();
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

    private void remove(QueuedWork pending) {
        OrganisationQueue lane = pending.lane();
        unlink(lane);
        lane.remove(pending);
        link(lane);
        mByDeadline.remove(pending);
        mByCall.remove(pending.work().call());
        mBytes -= pending.work().bytes();
    }

    private void unlink(OrganisationQueue lane) {
        if (!lane.isEmpty()) {
            mByServed.remove(lane);
            mByCount.remove(lane);
            mByBytes.remove(lane);
        }
    }

    private void link(OrganisationQueue lane) {
        if (!lane.isEmpty()) {
            mByServed.add(lane);
            mByCount.add(lane);
            mByBytes.add(lane);
        }
    }
}
