package org.coltsfootproxy.membership;

import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.message.FleetRole;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.LogField;
import org.coltsfootproxy.node.Node;

/**
 * One control host's roster of the fleet: the members of its log, and the hosts that have enrolled
 * recently.
 *
 * <p>Every host enrols with every control host, so the control hosts arrive at the same roster
 * without exchanging it. The roster is not durable: a control host that starts knows all hosts
 * after one enrolment interval.
 */
public final class FleetRoster {
    /**
     * Time without an enrolment after which a host is considered to have left, in nanoseconds:
     * three enrolment intervals.
     */
    static final long ENROLMENT_TIMEOUT_NANOS = 3 * FleetMembership.ENROL_INTERVAL_NANOS;

    private final Map<HostId, Enrolled> mHosts = new TreeMap<>();
    private final Map<String, HostId> mHostsByName = new TreeMap<>();
    private List<HostId> mControls;
    private Set<HostId> mRetiring = Set.of();
    private List<HostId> mJobMembers = List.of();
    private long mJobTerm;
    private FleetMessage.Roster mRoster;

    /**
     * A host's last enrolment.
     *
     * @param receivedNanos when it was received
     */
    private record Enrolled(FleetMessage.Enrol enrol, long receivedNanos) {}

    private FleetRoster(Collection<HostId> controls) {
        mControls = sorted(controls.stream());
        mRoster = roster();
    }

    /** Returns a roster with only the control hosts. */
    public static FleetRoster create(Collection<HostId> controls) {
        return new FleetRoster(controls);
    }

    /** Replaces the control hosts; an empty collection is ignored. */
    public void controls(Collection<HostId> controls, Effects out) {
        List<HostId> sorted = sorted(controls.stream());
        if (!sorted.isEmpty() && !sorted.equals(mControls)) {
            mControls = sorted;
            update(out);
        }
    }

    /** Replaces the hosts that are being drained for retirement. */
    public void retiring(Set<HostId> hosts, Effects out) {
        if (!hosts.equals(mRetiring)) {
            mRetiring = Set.copyOf(hosts);
            update(out);
        }
    }

    /** Handles a host's enrolment and sends the roster if the host has a different one. */
    public void handle(HostId host, FleetMessage.Enrol enrol, long nowNanos, Effects out) {
        boolean isNew = mHosts.put(host, new Enrolled(enrol, nowNanos)) == null;
        mHostsByName.put(enrol.name(), host);
        if (updateJobMembers(enrol) || isNew) {
            update(out);
        }
        if (enrol.known().roster() != mRoster.digest()) {
            out.send(host, mRoster);
        }
    }

    /** Adopts the members of the job log from this host, which leads it. */
    public void ledBy(long term, List<HostId> members, Effects out) {
        if (term >= mJobTerm && !(term == mJobTerm && members.equals(mJobMembers))) {
            mJobTerm = term;
            mJobMembers = List.copyOf(members);
            update(out);
        }
    }

    /**
     * Adopts the members of the job log from the leader of the latest term.
     *
     * @return whether the members or the term have changed
     */
    private boolean updateJobMembers(FleetMessage.Enrol enrol) {
        FleetMessage.StoreState store = enrol.store();
        boolean isLeader = store != null && store.term() > 0 && store.term() >= mJobTerm;
        if (!isLeader) {
            return false;
        }
        boolean isChanged = store.term() != mJobTerm || !store.members().equals(mJobMembers);
        mJobTerm = store.term();
        mJobMembers = store.members();
        return isChanged;
    }

    /** Returns whether any entry or store is enrolled. */
    public boolean hasHosts() {
        return !mHosts.isEmpty();
    }

    /** Returns the entries that are enrolled. */
    public Stream<HostId> entries() {
        return hosts(FleetRole.ENTRY);
    }

    /** Returns the stores that are enrolled, including those being drained for retirement. */
    public Stream<HostId> stores() {
        return hosts(FleetRole.STORE);
    }

    private Stream<HostId> hosts(FleetRole role) {
        return mHosts.entrySet().stream()
                .filter(entry -> entry.getValue().enrol().role() == role)
                .map(Map.Entry::getKey);
    }

    /** Returns the last enrolment of a host, or empty if the host is not enrolled. */
    public Optional<FleetMessage.Enrol> enrolment(HostId host) {
        return Optional.ofNullable(mHosts.get(host)).map(Enrolled::enrol);
    }

    /** Returns the host with the given name, even if it has left. */
    public Optional<HostId> byName(String name) {
        return Optional.ofNullable(mHostsByName.get(name));
    }

    /** Returns the members of the job log, with the leader first; empty if unknown. */
    public List<HostId> jobMembers() {
        return mJobMembers;
    }

    /** Removes hosts whose enrolment has timed out. */
    public void tick(long nowNanos, Effects out) {
        if (mHosts.values()
                .removeIf(host -> nowNanos - host.receivedNanos() >= ENROLMENT_TIMEOUT_NANOS)) {
            update(out);
        }
    }

    private void update(Effects out) {
        mRoster = roster();
        out.log(
                EventCode.ROSTER_CHANGED,
                LogField.of("controls", mRoster.controls()),
                LogField.of("entries", mRoster.entries()),
                LogField.of("stores", mRoster.stores()),
                LogField.of("jobMembers", mRoster.jobMembers()),
                LogField.of("retiring", mRoster.retiring()));
    }

    /** Returns the time of the next due {@link #tick}, or {@link Node#NEVER}. */
    public long nextTickNanos() {
        long next = Node.NEVER;
        for (var host : mHosts.values()) {
            next = Math.min(next, host.receivedNanos() + ENROLMENT_TIMEOUT_NANOS);
        }
        return next;
    }

    private FleetMessage.Roster roster() {
        List<HostId> entries = sorted(entries());
        List<HostId> stores = sorted(stores().filter(host -> !mRetiring.contains(host)));
        List<HostId> retiring = sorted(mRetiring.stream());
        List<FleetMessage.HostPlacement> placements = placements();
        Hasher hasher = Hashing.murmur3_128().newHasher();
        Stream.of(mControls, entries, stores, mJobMembers, retiring)
                .forEach(
                        hosts -> {
                            hasher.putInt(hosts.size());
                            hosts.forEach(h -> hasher.putString(h.value(), StandardCharsets.UTF_8));
                        });
        placements.forEach(p -> hasher.putString(p.dataCentre().value(), StandardCharsets.UTF_8));
        // The digest is never 0, which denotes a host without a roster.
        long digest = hasher.putLong(mJobTerm).hash().asLong() | 1;
        return new FleetMessage.Roster(
                digest, mControls, entries, stores, mJobTerm, mJobMembers, retiring, placements);
    }

    private List<FleetMessage.HostPlacement> placements() {
        return mHosts.entrySet().stream()
                .map(
                        host ->
                                new FleetMessage.HostPlacement(
                                        host.getKey(), host.getValue().enrol().dataCentre()))
                .toList();
    }

    private static List<HostId> sorted(Stream<HostId> hosts) {
        return hosts.sorted().distinct().toList();
    }
}
