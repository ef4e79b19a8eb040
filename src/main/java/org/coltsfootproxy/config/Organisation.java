package org.coltsfootproxy.config;

import java.util.OptionalInt;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.WireCode;

/**
 * An organisation, with its rate limit and share of capacity.
 *
 * @param ratePerSecond limit of online requests per second across the fleet; 0 for no limit
 * @param burst number of requests that may arrive at once, at least 1
 * @param weight share of capacity relative to other organisations, above 0
 * @param priority rank of its requests, 0 is the most urgent; null if the route's applies
 */
@WireCode(1)
public record Organisation(
        OrganisationId id, double ratePerSecond, double burst, double weight, Integer priority)
        implements ConfigObject {
    /** Creates an organisation whose requests have the rank of their route. */
    public Organisation(OrganisationId id, double ratePerSecond, double burst, double weight) {
        this(id, ratePerSecond, burst, weight, null);
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
