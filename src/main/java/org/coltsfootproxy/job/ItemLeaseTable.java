package org.coltsfootproxy.job;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.message.LeaseRef;

/**
 * The leases that this leader has granted or taken over.
 *
 * <p>The table is lost with the leader; a new leader rebuilds it from the agents' renewals.
 */
final class ItemLeaseTable {
    private final Map<HostId, AgentSession> mSessions = new LinkedHashMap<>();
    private final Map<ItemKey, ItemLease> mByItem = new HashMap<>();

    /** Identifies an item in the ledger. */
    private record ItemKey(long job, int item) {
        static ItemKey of(LeaseRef ref) {
            return new ItemKey(ref.job(), ref.item());
        }
    }

    /**
     * An agent's session. If it was just created, {@code orphans} are the leases of the agent's
     * previous incarnation; otherwise there are none.
     */
    record OpenedSession(AgentSession session, List<ItemLease> orphans) {}

    ItemLeaseTable() {}

    void clear() {
        mSessions.clear();
        mByItem.clear();
    }

    /**
     * Returns the session of an incarnation of an agent, or empty if a newer incarnation has
     * replaced it.
     *
     * <p>The first message of a new incarnation ends the session of the previous one.
     */
    Optional<OpenedSession> open(HostId agent, Incarnation incarnation) {
        AgentSession existing = mSessions.get(agent);
        if (existing != null && existing.incarnation().equals(incarnation)) {
            return Optional.of(new OpenedSession(existing, List.of()));
        }
        if (existing != null && existing.previous().equals(incarnation)) {
            return Optional.empty();
        }
        Incarnation previous = existing == null ? Incarnation.UNKNOWN : existing.incarnation();
        AgentSession session = AgentSession.of(agent, incarnation, previous);
        mSessions.put(agent, session);
        List<ItemLease> orphans =
                existing == null ? List.of() : new ArrayList<>(existing.leases().values());
        return Optional.of(new OpenedSession(session, orphans));
    }

    /** Returns the sessions in the order in which they were created. */
    Stream<AgentSession> sessions() {
        return mSessions.values().stream();
    }

    Optional<AgentSession> session(HostId agent) {
        return Optional.ofNullable(mSessions.get(agent));
    }

    /**
     * Removes the sessions of agents that hold no lease and sent their last message before the
     * given time.
     */
    void removeSilent(long beforeNanos) {
        mSessions
                .values()
                .removeIf(s -> s.leases().isEmpty() && s.lastMessageNanos() - beforeNanos < 0);
    }

    void add(AgentSession session, ItemLease lease) {
        session.leases().put(lease.ref(), lease);
        mByItem.put(ItemKey.of(lease.ref()), lease);
    }

    /** Returns the current lease of the item, whichever agent and fencing number it has. */
    Optional<ItemLease> current(LeaseRef ref) {
        return Optional.ofNullable(mByItem.get(ItemKey.of(ref)));
    }

    boolean isLeased(long job, int item) {
        return mByItem.containsKey(new ItemKey(job, item));
    }

    /** Returns whether the lease is the current one of its item. */
    boolean isLeased(LeaseRef ref) {
        return current(ref).filter(lease -> lease.ref().equals(ref)).isPresent();
    }

    /** Returns the lease if it is the current one of its item and held by the agent. */
    Optional<ItemLease> held(HostId agent, LeaseRef ref) {
        return current(ref).filter(l -> l.ref().equals(ref) && l.agent().equals(agent));
    }

    /** Ends a lease if it is the current one of its item; returns whether it was. */
    boolean remove(LeaseRef ref) {
        ItemLease lease = mByItem.get(ItemKey.of(ref));
        if (lease == null || !lease.ref().equals(ref)) {
            return false;
        }
        mByItem.remove(ItemKey.of(ref));
        session(lease.agent()).ifPresent(session -> session.leases().remove(ref));
        return true;
    }

    /**
     * Returns the leases that have expired by {@code nowNanos} and have no proposal in flight, in
     * the order of jobs and items.
     */
    List<ItemLease> expired(long nowNanos) {
        return mByItem.values().stream()
                .filter(lease -> !lease.isBusy() && lease.expiryNanos() - nowNanos <= 0)
                .sorted(
                        java.util.Comparator.comparingLong((ItemLease l) -> l.ref().job())
                                .thenComparingInt(l -> l.ref().item()))
                .toList();
    }

    /** Returns the leases on items of a job, in the order of items. */
    List<ItemLease> ofJob(long job) {
        return mByItem.values().stream()
                .filter(lease -> lease.ref().job() == job)
                .sorted(java.util.Comparator.comparingInt(l -> l.ref().item()))
                .toList();
    }

    int size() {
        return mByItem.size();
    }
}
