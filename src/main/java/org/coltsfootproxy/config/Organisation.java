package org.coltsfootproxy.config;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.google.common.collect.ImmutableSortedSet;
import java.util.OptionalInt;
import java.util.Set;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.Region;
import org.coltsfootproxy.base.WireCode;

/**
 * An organisation, with its rate limit and share of capacity.
 *
 * @param ratePerSecond limit of online requests per second across the fleet; 0 for no limit
 * @param burst number of requests that may arrive at once, at least 1
 * @param weight share of capacity relative to other organisations, above 0
 * @param allowedRegions regions that requests and their bodies may reach; empty for all
 * @param priority rank of its requests, 0 is the most urgent; null if the route's applies
 */
@WireCode(1)
public record Organisation(
        OrganisationId id,
        double ratePerSecond,
        double burst,
        double weight,
        @JsonInclude(JsonInclude.Include.NON_EMPTY) Set<Region> allowedRegions,
        @JsonInclude(JsonInclude.Include.NON_NULL) Integer priority)
        implements ConfigObject {
    /** Copies the set in sorted order, so that every replica encodes it identically. */
    public Organisation {
        // A log of an earlier version has none.
        allowedRegions =
                allowedRegions == null ? Set.of() : ImmutableSortedSet.copyOf(allowedRegions);
    }

    /** Creates an organisation that may use all regions, with the ranks of the routes. */
    public Organisation(OrganisationId id, double ratePerSecond, double burst, double weight) {
        this(id, ratePerSecond, burst, weight, Set.of(), null);
    }

    /** Returns the rank of its requests; empty if the route's applies. */
    public OptionalInt rank() {
        return priority == null ? OptionalInt.empty() : OptionalInt.of(priority);
    }

    @Override
    public ObjectName objectName() {
        return ObjectName.of(ObjectKind.ORGANISATION, id.value());
    }
}
