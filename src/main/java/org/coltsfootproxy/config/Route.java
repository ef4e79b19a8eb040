package org.coltsfootproxy.config;

import com.google.common.collect.ImmutableSortedSet;
import java.util.Collection;
import java.util.Set;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.RouteId;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.base.WireCode;

/**
 * A route from paths to a service.
 *
 * @param pathPrefix start of the paths, ends at a path separator or the end of the path
 * @param open whether requests need no key
 * @param organisations who may use the route; empty for all
 * @param repeatableMethods HTTP methods whose requests may run more than once
 * @param timeoutMillis longest time for a request, in milliseconds
 */
@WireCode(4)
public record Route(
        RouteId id,
        String pathPrefix,
        ServiceId service,
        boolean open,
        Set<OrganisationId> organisations,
        Set<String> repeatableMethods,
        long timeoutMillis)
        implements ConfigObject {
    /** Copies the sets in a fixed order, so that every member encodes them alike. */
    public Route {
        organisations = sorted(organisations);
        repeatableMethods = sorted(repeatableMethods);
    }

    private static <T extends Comparable<T>> Set<T> sorted(Collection<T> values) {
        return ImmutableSortedSet.copyOf(values);
    }

    @Override
    public ObjectName objectName() {
        return ObjectName.of(ObjectKind.ROUTE, id.value());
    }
}
