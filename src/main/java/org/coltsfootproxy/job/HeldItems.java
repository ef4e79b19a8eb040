package org.coltsfootproxy.job;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.coltsfootproxy.message.LeaseRef;

/** The items that an agent holds, in the order of their arrival. */
final class HeldItems {
    private final Map<LeaseRef, HeldItem> mItems = new LinkedHashMap<>();

    void add(HeldItem held) {
        mItems.put(held.item().lease(), held);
    }

    Optional<HeldItem> find(LeaseRef ref) {
        return Optional.ofNullable(mItems.get(ref));
    }

    /** Removes an item; tells whether it was held. */
    boolean remove(LeaseRef ref) {
        return mItems.remove(ref) != null;
    }

    boolean isEmpty() {
        return mItems.isEmpty();
    }

    Stream<LeaseRef> leases() {
        return mItems.keySet().stream();
    }

    /** Returns the items that don't run. */
    List<HeldItem> waiting() {
        return mItems.values().stream().filter(held -> !held.isRunning()).toList();
    }

    Stream<HeldItem> inStep(HeldItem.Step step) {
        return mItems.values().stream().filter(held -> held.step() == step);
    }

    /** Returns the item to run next: one that is cleared, else one that needs no start. */
    Optional<HeldItem> nextToRun() {
        return inStep(HeldItem.Step.CLEARED)
                .findFirst()
                .or(
                        () ->
                                inStep(HeldItem.Step.QUEUED)
                                        .filter(held -> held.item().repeatable())
                                        .findFirst());
    }

    /** Returns items that need a durable start before they run. */
    List<HeldItem> nextToStart(long most) {
        return inStep(HeldItem.Step.QUEUED)
                .filter(held -> !held.item().repeatable())
                .limit(Math.max(0, most))
                .toList();
    }

    boolean isStarting() {
        return inStep(HeldItem.Step.STARTING).findAny().isPresent();
    }

    /** Lets durable starts be asked for again. */
    void forgetStarts() {
        inStep(HeldItem.Step.STARTING).toList().forEach(held -> held.setStep(HeldItem.Step.QUEUED));
    }

    void extend(long expiryNanos) {
        mItems.values().forEach(held -> held.extend(expiryNanos));
    }
}
