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
 * <p>It is lost with the leader; a new one fills it from the agents' renewals.
 */
final class LeaseTable {
    private final Map<HostId, AgentSession> mSessions = new LinkedHashMap<>();
    private final Map<ItemPlace, Lease> mByItem = new HashMap<>();

    /** Names an item. */
    private record ItemPlace(long job, int item) {
        static ItemPlace of(LeaseRef ref) {
            return new ItemPlace(ref.job(), ref.item());
        }
    }

    /** A session that just began, with the leases that its agent's earlier life lost. */
    record Opened(AgentSession session, List<Lease> orphans) {}

    LeaseTable() {}

    void clear() {
        mSessions.clear();
        mByItem.clear();
    }

    /**
     * Returns the session of an agent's life, or nothing if it is over.
     *
     * <p>A new life ends the earlier one's session.
     */
    Optional<Opened> open(HostId agent, Incarnation incarnation) {
        AgentSession known = mSessions.get(agent);
        if (known != null && known.incarnation().equals(incarnation)) {
            return Optional.of(new Opened(known, List.of()));
        }
        if (known != null && known.earlier().equals(incarnation)) {
            return Optional.empty();
        }
        Incarnation earlier = known == null ? Incarnation.UNKNOWN : known.incarnation();
        AgentSession session = AgentSession.of(agent, incarnation, earlier);
        mSessions.put(agent, session);
        List<Lease> orphans = known == null ? List.of() : new ArrayList<>(known.leases().values());
        return Optional.of(new Opened(session, orphans));
    }

    /** Returns the sessions in the order of their begin. */
    Stream<AgentSession> sessions() {
        return mSessions.values().stream();
    }

    Optional<AgentSession> session(HostId agent) {
        return Optional.ofNullable(mSessions.get(agent));
    }

    /** Forgets agents without leases that were last heard of before the given time. */
    void forgetSilent(long beforeNanos) {
        mSessions.values().removeIf(s -> s.leases().isEmpty() && s.heardNanos() - beforeNanos < 0);
    }

    void add(AgentSession session, Lease lease) {
        session.leases().put(lease.ref(), lease);
        mByItem.put(ItemPlace.of(lease.ref()), lease);
    }

    /** Returns the lease that is on the item now, whoever asks. */
    Optional<Lease> current(LeaseRef ref) {
        return Optional.ofNullable(mByItem.get(ItemPlace.of(ref)));
    }

    boolean isLeased(long job, int item) {
        return mByItem.containsKey(new ItemPlace(job, item));
    }

    /** Tells whether the named lease is the current one of its item. */
    boolean isLeased(LeaseRef ref) {
        return current(ref).filter(lease -> lease.ref().equals(ref)).isPresent();
    }

    /** Returns the named lease if it is the current one and the agent's. */
    Optional<Lease> held(HostId agent, LeaseRef ref) {
        return current(ref).filter(l -> l.ref().equals(ref) && l.agent().equals(agent));
    }

    /** Ends a lease if it is still the current one; tells whether it was. */
    boolean remove(LeaseRef ref) {
        Lease lease = mByItem.get(ItemPlace.of(ref));
        if (lease == null || !lease.ref().equals(ref)) {
            return false;
        }
        mByItem.remove(ItemPlace.of(ref));
        session(lease.agent()).ifPresent(session -> session.leases().remove(ref));
        return true;
    }

    /**
     * Returns the leases that ended by {@code nowNanos} with nothing on its way through the log.
     */
    List<Lease> expired(long nowNanos) {
        return mByItem.values().stream()
                .filter(lease -> !lease.isBusy() && lease.expiryNanos() - nowNanos <= 0)
                .sorted(
                        java.util.Comparator.comparingLong((Lease l) -> l.ref().job())
                                .thenComparingInt(l -> l.ref().item()))
                .toList();
    }

    /** Returns the leases on items of a job. */
    List<Lease> ofJob(long job) {
        return mByItem.values().stream()
                .filter(lease -> lease.ref().job() == job)
                .sorted(java.util.Comparator.comparingInt(l -> l.ref().item()))
                .toList();
    }

    int size() {
        return mByItem.size();
    }
}
