package org.coltsfootproxy.config;

import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.ServiceId;

/** One version of the whole configuration, ready for look-ups; immutable. */
public final class ConfigView {
    private final long mVersion;
    private final Map<OrganisationId, Organisation> mOrganisations;
    private final Map<String, Key> mKeysByDigest;
    private final Map<ServiceId, Service> mServices;
    private final java.util.List<Route> mRoutes;

    private ConfigView(
            long version,
            Stream<Organisation> organisations,
            Stream<Key> keys,
            Stream<Service> services,
            Stream<Route> routes) {
        mVersion = version;
        mOrganisations = index(organisations, Organisation::id);
        mKeysByDigest = index(keys, Key::digest);
        mServices = index(services, Service::id);
        mRoutes =
                routes.sorted(Comparator.comparingInt((Route r) -> -r.pathPrefix().length()))
                        .collect(Collectors.toUnmodifiableList());
    }

    /** Returns the view of the given objects. */
    public static ConfigView of(
            long version,
            Stream<Organisation> organisations,
            Stream<Key> keys,
            Stream<Service> services,
            Stream<Route> routes) {
        return new ConfigView(version, organisations, keys, services, routes);
    }

    /** Returns the view without any object, of version 0. */
    public static ConfigView empty() {
        return of(0, Stream.empty(), Stream.empty(), Stream.empty(), Stream.empty());
    }

    private static <K, V> Map<K, V> index(Stream<V> values, Function<V, K> key) {
        return values.collect(Collectors.toUnmodifiableMap(key, Function.identity()));
    }

    /** Returns the version; it only grows. */
    public long version() {
        return mVersion;
    }

    /** Returns the organisation with the given id. */
    public Optional<Organisation> organisation(OrganisationId id) {
        return Optional.ofNullable(mOrganisations.get(id));
    }

    /** Returns all organisations. */
    public Stream<Organisation> organisations() {
        return mOrganisations.values().stream();
    }

    /** Returns the key with the given digest, if it is in force. */
    public Optional<Key> keyByDigest(String digest) {
        return Optional.ofNullable(mKeysByDigest.get(digest));
    }

    /** Returns the service with the given id. */
    public Optional<Service> service(ServiceId id) {
        return Optional.ofNullable(mServices.get(id));
    }

    /** Returns all services. */
    public Stream<Service> services() {
        return mServices.values().stream();
    }

    /** Returns the route with the longest prefix that matches the path. */
    public Optional<Route> route(String path) {
        return mRoutes.stream().filter(route -> matches(route.pathPrefix(), path)).findFirst();
    }

    private static boolean matches(String prefix, String path) {
        return path.startsWith(prefix)
                && (path.length() == prefix.length()
                        || prefix.endsWith("/")
                        || path.charAt(prefix.length()) == '/'
                        || path.charAt(prefix.length()) == '?');
    }
}
