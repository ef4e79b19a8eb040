package org.coltsfootproxy.relay;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.membership.FleetMembership;

/**
 * Division of the hosts that call targets into groups, each with an order in which its hosts serve
 * as its relay.
 *
 * <p>The division follows from the roster alone, so hosts with the same roster agree on it without
 * an election. In a small fleet each host is a group of its own, and reports need no relay. In a
 * larger one the hosts of a data centre form a group; its stores come first, because they have the
 * most processor time to spare.
 */
public final class RelayGroups {
    /** Number of hosts up to which each host sends its reports to all others itself. */
    public static final int MAX_HOSTS_WITHOUT_RELAYS = 12;

    private final List<List<HostId>> mGroups;
    private final Map<HostId, List<HostId>> mGroupByHost = new HashMap<>();

    private RelayGroups(List<List<HostId>> groups) {
        mGroups = List.copyOf(groups);
        mGroups.forEach(group -> group.forEach(host -> mGroupByHost.put(host, group)));
    }

    /** Returns a division without hosts. */
    public static RelayGroups empty() {
        return new RelayGroups(List.of());
    }

    /** Returns the division of the hosts that a membership knows. */
    public static RelayGroups of(FleetMembership membership) {
        checkNotNull(membership, "membership");
        return of(
                membership.targetCallers(),
                new HashSet<>(membership.roster().stores()),
                membership.dataCentres());
    }

    /**
     * Returns a division.
     *
     * @param stores those of the hosts that are stores
     * @param dataCentres data centres of the hosts; a host that is missing is a group of its own
     */
    static RelayGroups of(
            List<HostId> hosts, Set<HostId> stores, Map<HostId, DataCentre> dataCentres) {
        Map<String, List<HostId>> groups = new LinkedHashMap<>();
        hosts.stream()
                .sorted(
                        Comparator.comparing((HostId host) -> !stores.contains(host))
                                .thenComparing(Comparator.naturalOrder()))
                .forEach(
                        host -> {
                            Optional<DataCentre> dataCentre =
                                    Optional.ofNullable(dataCentres.get(host))
                                            .filter(d -> hosts.size() > MAX_HOSTS_WITHOUT_RELAYS);
                            String name =
                                    dataCentre.map(d -> "dc " + d).orElseGet(() -> "host " + host);
                            groups.computeIfAbsent(name, n -> new ArrayList<>()).add(host);
                        });
        return new RelayGroups(groups.values().stream().map(List::copyOf).toList());
    }

    /** Returns all groups, each with its hosts in the order in which they serve as its relay. */
    List<List<HostId>> groups() {
        return mGroups;
    }

    /** Returns the group of a host; only the host itself if the division does not contain it. */
    List<HostId> groupOf(HostId host) {
        return mGroupByHost.getOrDefault(host, List.of(host));
    }

    boolean contains(HostId host) {
        return mGroupByHost.containsKey(host);
    }

    boolean isSameGroup(HostId one, HostId other) {
        return groupOf(one).contains(other);
    }
}
