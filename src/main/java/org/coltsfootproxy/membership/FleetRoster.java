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
 * The hosts of the fleet as one control host knows them: the members of its log, and the hosts that
 * have enrolled here lately.
 *
 * <p>Every host enrols with every control host, so the control hosts agree without telling each
 * other. Nothing of it is durable: a control host that starts knows all hosts one enrolment later.
 */
public final class FleetRoster {
    /** Silence after which a host has left: three enrolments. */
    static final long LEFT_NANOS = 3 * FleetMembership.ENROL_NANOS;

    private final Map<HostId, Enrolled> mHosts = new TreeMap<>();
    private final Map<String, HostId> mNames = new TreeMap<>();
    private List<HostId> mControls;
    private Set<HostId> mRetiring = Set.of();
    private List<HostId> mJobMembers = List.of();
    private long mJobTerm;
    private FleetMessage.Roster mRoster;

    /** A host's last enrolment. */
    private record Enrolled(FleetMessage.Enrol enrol, long nanos) {}

    private FleetRoster(Collection<HostId> controls) {
        mControls = sorted(controls.stream());
        mRoster = roster();
    }

    /** Returns a roster without hosts besides the control hosts. */
    public static FleetRoster create(Collection<HostId> controls) {
        return new FleetRoster(controls);
    }

    /** Replaces the control hosts. */
    public void controls(Collection<HostId> controls, Effects out) {
        List<HostId> sorted = sorted(controls.stream());
        if (!sorted.isEmpty() && !sorted.equals(mControls)) {
            mControls = sorted;
            change(out);
        }
    }

    /** Replaces the hosts that are being emptied. */
    public void retiring(Set<HostId> hosts, Effects out) {
        if (!hosts.equals(mRetiring)) {
            mRetiring = Set.copyOf(hosts);
            change(out);
        }
    }

    /** Takes a host's enrolment and tells it the roster if it has another one. */
    public void handle(HostId host, FleetMessage.Enrol enrol, long nowNanos, Effects out) {
        boolean isNew = mHosts.put(host, new Enrolled(enrol, nowNanos)) == null;
        mNames.put(enrol.name(), host);
        if (takeJobMembers(enrol) || isNew) {
            change(out);
        }
        if (enrol.known().roster() != mRoster.digest()) {
            out.send(host, mRoster);
        }
    }

    /** The leader of the latest term tells the members of the log of the jobs. */
    private boolean takeJobMembers(FleetMessage.Enrol enrol) {
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

    /** Returns the entries that run. */
    public Stream<HostId> entries() {
        return hosts(FleetRole.ENTRY);
    }

    /** Returns the hosts with a store that run, those that are being emptied included. */
    public Stream<HostId> stores() {
        return hosts(FleetRole.STORE);
    }

    private Stream<HostId> hosts(FleetRole role) {
        return mHosts.entrySet().stream()
                .filter(entry -> entry.getValue().enrol().role() == role)
                .map(Map.Entry::getKey);
    }

    /** Returns the last enrolment of a host that runs. */
    public Optional<FleetMessage.Enrol> enrolment(HostId host) {
        return Optional.ofNullable(mHosts.get(host)).map(Enrolled::enrol);
    }

    /** Returns the host that operators know by a name, even if it has left. */
    public Optional<HostId> byName(String name) {
        return Optional.ofNullable(mNames.get(name));
    }

    /** Returns the members of the log of the jobs, its leader first; empty if not known. */
    public List<HostId> jobMembers() {
        return mJobMembers;
    }

    /** Forgets hosts that have left. */
    public void tick(long nowNanos, Effects out) {
        if (mHosts.values().removeIf(host -> nowNanos - host.nanos() >= LEFT_NANOS)) {
            change(out);
        }
    }

    private void change(Effects out) {
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
        return mHosts.values().stream()
                .mapToLong(host -> host.nanos() + LEFT_NANOS)
                .min()
                .orElse(Node.NEVER);
    }

    private FleetMessage.Roster roster() {
        List<HostId> entries = sorted(entries());
        List<HostId> stores = sorted(stores().filter(host -> !mRetiring.contains(host)));
        List<HostId> retiring = sorted(mRetiring.stream());
        Hasher hasher = Hashing.murmur3_128().newHasher();
        Stream.of(mControls, entries, stores, mJobMembers, retiring)
                .forEach(
                        hosts -> {
                            hasher.putInt(hosts.size());
                            hosts.forEach(h -> hasher.putString(h.value(), StandardCharsets.UTF_8));
                        });
        long digest = hasher.putLong(mJobTerm).hash().asLong() | 1;
        return new FleetMessage.Roster(
                digest, mControls, entries, stores, mJobTerm, mJobMembers, retiring);
    }

    private static List<HostId> sorted(Stream<HostId> hosts) {
        return hosts.sorted().distinct().toList();
    }
}
