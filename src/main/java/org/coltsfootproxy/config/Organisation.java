package org.coltsfootproxy.config;

import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.WireCode;

/**
 * An organisation, with its rate limit and share of capacity.
 *
 * @param ratePerSecond limit of online requests per second across the fleet; 0 for no limit
 * @param burst number of requests that may arrive at once, at least 1
 * @param weight share of capacity relative to other organisations, above 0
 */
@WireCode(1)
public record Organisation(OrganisationId id, double ratePerSecond, double burst, double weight)
        implements ConfigObject {
    @Override
    public ObjectName objectName() {
        return ObjectName.of(ObjectKind.ORGANISATION, id.value());
    }
}
