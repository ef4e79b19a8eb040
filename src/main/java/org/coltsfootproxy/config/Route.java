package org.coltsfootproxy.config;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.collect.ImmutableSortedSet;
import java.util.Collection;
import java.util.Set;
import java.util.stream.Stream;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.RouteId;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.base.WireCode;

/**
 * A route from paths to a service.
 *
 * @param hostName name that callers use for the system; empty if any name leads here
 * @param pathPrefix start of the paths, ends at a path separator or the end of the path
 * @param service the service, or the first of those that share the requests
 * @param open whether requests need no key
 * @param organisations who may use the route; empty for all
 * @param repeatableMethods HTTP methods whose requests may run more than once, if the kind says so
 * @param timeoutMillis longest time for a request, in milliseconds
 */
@WireCode(4)
public record Route(
        RouteId id,
        String hostName,
        String pathPrefix,
        ServiceId service,
        boolean open,
        Set<OrganisationId> organisations,
        Set<String> repeatableMethods,
        long timeoutMillis,
        RoutePolicy policy)
        implements ConfigObject {
    /** Copies the sets in a fixed order, so that every member encodes them alike. */
    public Route {
        checkNotNull(hostName, "host name is missing");
        checkNotNull(policy, "policy is missing");
        organisations = sorted(organisations);
        repeatableMethods = sorted(repeatableMethods);
    }

    /** Returns a route for any host name whose methods decide what may be repeated. */
    public static Route of(
            RouteId id,
            String pathPrefix,
            ServiceId service,
            boolean open,
            Set<OrganisationId> organisations,
            Set<String> repeatableMethods,
            long timeoutMillis) {
        return new Route(
                id,
                "",
                pathPrefix,
                service,
                open,
                organisations,
                repeatableMethods,
                timeoutMillis,
                RoutePolicy.DEFAULT);
    }

    private static <T extends Comparable<T>> Set<T> sorted(Collection<T> values) {
        return ImmutableSortedSet.copyOf(values);
    }

    @Override
    public ObjectName objectName() {
        return ObjectName.of(ObjectKind.ROUTE, id.value());
    }

    /** Returns the services that requests may go to. */
    public Stream<ServiceId> services() {
        return policy.split().isEmpty()
                ? Stream.of(service)
                : policy.split().stream().map(RoutePolicy.Share::service);
    }

    /**
     * Returns the service at a point of the split.
     *
     * @param point from 0 to below 1; evenly spread points share the requests by weight
     */
    public ServiceId serviceAt(double point) {
        double left = point * policy.split().stream().mapToInt(RoutePolicy.Share::weight).sum();
        for (RoutePolicy.Share share : policy.split()) {
            left -= share.weight();
            if (left < 0) {
                return share.service();
            }
        }
        return service;
    }

    /** Tells whether a second run of a request with the given method would do no harm. */
    public boolean isRepeatable(String method) {
        return switch (policy.kind()) {
            case BY_METHOD -> repeatableMethods.contains(method);
            case REPEATABLE, BATCH -> true;
            case ONCE -> false;
            case STREAM -> policy.resumable();
        };
    }

    /** Tells whether requests to a host name may take this route. */
    boolean servesHost(String name) {
        return hostName.isEmpty() || hostName.equalsIgnoreCase(name);
    }
}
