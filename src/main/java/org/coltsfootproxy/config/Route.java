package org.coltsfootproxy.config;

import java.util.Set;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.RouteId;
import org.coltsfootproxy.base.ServiceId;

/**
 * A route from paths to a service.
 *
 * @param pathPrefix start of the paths, ends at a path separator or the end of the path
 * @param open whether requests need no key
 * @param organisations who may use the route; empty for all
 * @param repeatableMethods HTTP methods whose requests may run more than once
 * @param timeoutMillis longest time for a request, in milliseconds
 */
public record Route(
        RouteId id,
        String pathPrefix,
        ServiceId service,
        boolean open,
        Set<OrganisationId> organisations,
        Set<String> repeatableMethods,
        long timeoutMillis) {
    /** Copies the sets. */
    public Route {
        organisations = Set.copyOf(organisations);
        repeatableMethods = Set.copyOf(repeatableMethods);
    }
}
