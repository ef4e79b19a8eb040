package org.coltsfootproxy.config;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import com.google.common.collect.Sets;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.Region;

/** The regions of the data centres, and what requests that are bound to regions may reach. */
public final class Regions {
    private final Map<DataCentre, Region> mRegions;

    private Regions(Map<DataCentre, Region> regions) {
        mRegions = ImmutableMap.copyOf(regions);
    }

    /** Returns the given table; a data centre that it lacks is in no known region. */
    public static Regions of(Map<DataCentre, Region> regions) {
        return new Regions(regions);
    }

    /** Returns a table without data centres. */
    public static Regions none() {
        return new Regions(Map.of());
    }

    /**
     * Returns the regions to which the requests of an organisation on a route are bound; empty if
     * neither names any. If both do, only the regions that both name are allowed, perhaps none.
     */
    public static Optional<Set<Region>> allowed(Route route, Optional<Organisation> organisation) {
        Set<Region> ofRoute = route.allowedRegions();
        Set<Region> ofOrganisation =
                organisation.map(Organisation::allowedRegions).orElse(Set.of());
        return both(named(ofRoute), named(ofOrganisation));
    }

    /** Returns the regions that a route or an organisation names; empty if it names none. */
    public static Optional<Set<Region>> named(Set<Region> regions) {
        return regions.isEmpty() ? Optional.empty() : Optional.of(regions);
    }

    /** Returns the regions that both of two restrictions allow; empty for no restriction. */
    public static Optional<Set<Region>> both(
            Optional<Set<Region>> one, Optional<Set<Region>> other) {
        return one.isPresent() && other.isPresent()
                ? Optional.of(ImmutableSet.copyOf(Sets.intersection(one.get(), other.get())))
                : one.or(() -> other);
    }

    /** Returns the data centres in a restriction's regions; empty if there is no restriction. */
    public Optional<Set<DataCentre>> dataCentres(Optional<Set<Region>> allowed) {
        return allowed.map(
                regions ->
                        mRegions.entrySet().stream()
                                .filter(entry -> regions.contains(entry.getValue()))
                                .map(Map.Entry::getKey)
                                .collect(Collectors.toUnmodifiableSet()));
    }
}
