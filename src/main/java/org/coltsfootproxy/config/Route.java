package org.coltsfootproxy.config;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.annotation.JsonInclude;
import com.google.common.collect.ImmutableSortedSet;
import java.util.Collection;
import java.util.Set;
import java.util.stream.Stream;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.Region;
import org.coltsfootproxy.base.RouteId;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.base.WireCode;

/**
 * A route from paths to a service.
 *
 * @param hostName host name in the requests of callers; empty to match any
 * @param pathPrefix prefix of the paths; it matches whole path segments only
 * @param service the service, or the first of the services that share the requests
 * @param open whether requests need no key
 * @param organisations organisations that may use the route; empty for all
 * @param repeatableMethods HTTP methods whose requests may run more than once, used if the policy
 *     is {@link RequestKind#BY_METHOD}
 * @param timeoutMillis maximum duration of a request, in milliseconds
 * @param allowedRegions regions that requests and their bodies may reach; empty for all
 * @param priority rank of the requests unless their organisation has one; 0 is the most urgent
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
        RoutePolicy policy,
        @JsonInclude(JsonInclude.Include.NON_EMPTY) Set<Region> allowedRegions,
        @JsonInclude(JsonInclude.Include.NON_DEFAULT) int priority)
        implements ConfigObject {
    /** Copies the sets in sorted order, so that every replica encodes them identically. */
    public Route {
        checkNotNull(hostName, "host name is missing");
        checkNotNull(policy, "policy is missing");
        organisations = sorted(organisations);
        repeatableMethods = sorted(repeatableMethods);
        // A log of an earlier version has none.
        allowedRegions = allowedRegions == null ? Set.of() : sorted(allowedRegions);
    }

    /** Creates a route of the most urgent rank that may use all regions. */
    public Route(
            RouteId id,
            String hostName,
            String pathPrefix,
            ServiceId service,
            boolean open,
            Set<OrganisationId> organisations,
            Set<String> repeatableMethods,
            long timeoutMillis,
            RoutePolicy policy) {
        this(
                id,
                hostName,
                pathPrefix,
                service,
                open,
                organisations,
                repeatableMethods,
                timeoutMillis,
                policy,
                Set.of(),
                0);
    }

    /** Returns a route for any host name, with the default policy. */
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
                RoutePolicy.DEFAULT,
                Set.of(),
                0);
    }

    private static <T extends Comparable<T>> Set<T> sorted(Collection<T> values) {
        return ImmutableSortedSet.copyOf(values);
    }

    @Override
    public ObjectName objectName() {
        return ObjectName.of(ObjectKind.ROUTE, id.value());
    }

    /** Returns the services to which requests may go. */
    public Stream<ServiceId> services() {
        return policy.split().isEmpty()
                ? Stream.of(service)
                : policy.split().stream().map(RoutePolicy.Share::service);
    }

    /** Returns whether a service gets a share of the requests. */
    boolean sharesWith(ServiceId other) {
        return policy.split().isEmpty()
                ? service.equals(other)
                : policy.split().stream()
                        .anyMatch(share -> share.weight() > 0 && share.service().equals(other));
    }

    /**
     * Returns the service at a point of the weighted split.
     *
     * @param point from 0 to below 1; uniformly distributed points share the requests by weight
     */
    public ServiceId serviceAt(double point) {
        double remaining =
                point * policy.split().stream().mapToInt(RoutePolicy.Share::weight).sum();
        for (RoutePolicy.Share share : policy.split()) {
            remaining -= share.weight();
            if (remaining < 0) {
                return share.service();
            }
        }
        return service;
    }

    /** Returns whether a request with the given method may run more than once without harm. */
    public boolean isRepeatable(String method) {
        return switch (policy.kind()) {
            case BY_METHOD -> repeatableMethods.contains(method);
            case REPEATABLE, BATCH -> true;
            case ONCE -> false;
            case STREAM -> policy.resumable();
        };
    }

    /** Returns the rank of an organisation's requests; 0 is the most urgent. */
    public int rankOf(Organisation organisation) {
        return organisation.rank().orElse(priority);
    }

    /** Returns whether the route applies to requests for a host name. */
    boolean matchesHost(String name) {
        return hostName.isEmpty() || hostName.equalsIgnoreCase(name);
    }
}
