package org.coltsfootproxy.job;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.coltsfootproxy.message.LeaseRef;

/** The items that an agent holds, in the order in which they arrived. */
final class HeldItems {
    private final Map<LeaseRef, HeldItem> mItems = new LinkedHashMap<>();

    void add(HeldItem held) {
        mItems.put(held.item().lease(), held);
    }

    Optional<HeldItem> find(LeaseRef ref) {
        return Optional.ofNullable(mItems.get(ref));
    }

    /** Removes an item; returns whether it was held. */
    boolean remove(LeaseRef ref) {
        return mItems.remove(ref) != null;
    }

    boolean isEmpty() {
        return mItems.isEmpty();
    }

    Stream<LeaseRef> leases() {
        return mItems.keySet().stream();
    }

    /** Returns the items that are not running. */
    List<HeldItem> waiting() {
        return mItems.values().stream().filter(held -> !held.isRunning()).toList();
    }

    Stream<HeldItem> inStep(HeldItem.Step step) {
        return mItems.values().stream().filter(held -> held.step() == step);
    }

    /**
     * Returns the item to run next: one whose durable start was granted, else one that needs none.
     */
    Optional<HeldItem> nextToRun() {
        return inStep(HeldItem.Step.CLEARED)
                .findFirst()
                .or(
                        () ->
                                inStep(HeldItem.Step.QUEUED)
                                        .filter(held -> held.item().repeatable())
                                        .findFirst());
    }

    /** Returns at most {@code max} items whose durable start is to be requested. */
    List<HeldItem> nextToStart(long max) {
        return inStep(HeldItem.Step.QUEUED)
                .filter(held -> !held.item().repeatable())
                .limit(Math.max(0, max))
                .toList();
    }

    boolean isStarting() {
        return inStep(HeldItem.Step.STARTING).findAny().isPresent();
    }

    /** Queues the items that wait for a durable start again, so that it is requested once more. */
    void resetStarts() {
        inStep(HeldItem.Step.STARTING).toList().forEach(held -> held.setStep(HeldItem.Step.QUEUED));
    }

    void extend(long expiryNanos) {
        mItems.values().forEach(held -> held.extend(expiryNanos));
    }
}
