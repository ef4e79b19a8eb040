package org.coltsfootproxy.config;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.KeyId;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.ServiceId;

/** An immutable version of the whole configuration, indexed for lookups. */
public final class ConfigView {
    private final long mVersion;
    private final Map<OrganisationId, Organisation> mOrganisations;
    private final Map<KeyId, Key> mKeys;
    private final Map<String, Key> mKeysByDigest;
    private final Map<ServiceId, Service> mServices;
    private final List<Route> mRoutes;
    private final Set<DataCentre> mEvacuated;

    // A request at an entry searched all routes before: 30 us with 1,440 routes.
    private final Map<String, List<Route>> mRoutesByPrefix;
    private final int mLongestPrefix;

    /** Found when first asked for, which stores do ten times a second. */
    private List<ServiceId> mBatchServices;

    private ConfigView(
            long version,
            Map<OrganisationId, Organisation> organisations,
            Map<KeyId, Key> keys,
            Map<String, Key> keysByDigest,
            Map<ServiceId, Service> services,
            List<Route> routes,
            Map<String, List<Route>> routesByPrefix,
            Set<DataCentre> evacuated) {
        mVersion = version;
        mOrganisations = organisations;
        mKeys = keys;
        mKeysByDigest = keysByDigest;
        mServices = services;
        mRoutes = routes;
        mRoutesByPrefix = routesByPrefix;
        mLongestPrefix = routes.isEmpty() ? 0 : routes.get(0).pathPrefix().length();
        mEvacuated = evacuated;
    }

    /** Returns a view of the given objects. */
    public static ConfigView of(
            long version,
            Stream<Organisation> organisations,
            Stream<Key> keys,
            Stream<Service> services,
            Stream<Route> routes) {
        Map<KeyId, Key> byId = index(keys, Key::id);
        List<Route> ordered = longestPrefixFirst(routes);
        return new ConfigView(
                version,
                index(organisations, Organisation::id),
                byId,
                index(byId.values().stream(), Key::digest),
                index(services, Service::id),
                ordered,
                byPrefix(ordered),
                Set.of());
    }

    /** Returns the empty view of version 0. */
    public static ConfigView empty() {
        return of(0, Stream.empty(), Stream.empty(), Stream.empty(), Stream.empty());
    }

    /**
     * Returns this view with changes applied in order.
     *
     * <p>Only the tables that the changes affect are copied; the others are shared.
     *
     * @param version version of the result, at least the version of this view
     */
    public ConfigView with(long version, Collection<ConfigChange> changes) {
        checkArgument(version >= mVersion, "version %s is below %s", version, mVersion);
        var organisations = new CopyOnWriteTable<>(mOrganisations);
        var keys = new CopyOnWriteTable<>(mKeys);
        var digests = new CopyOnWriteTable<>(mKeysByDigest);
        var services = new CopyOnWriteTable<>(mServices);
        var routes = new CopyOnWriteTable<>(changesRoutes(changes) ? routesByName() : Map.of());
        changes.forEach(
                change -> {
                    switch (change.objectName().kind()) {
                        case ORGANISATION ->
                                organisations.set(
                                        OrganisationId.of(change.objectName().id()),
                                        change,
                                        Organisation.class);
                        case SERVICE ->
                                services.set(
                                        ServiceId.of(change.objectName().id()),
                                        change,
                                        Service.class);
                        case ROUTE -> routes.set(change.objectName(), change, Route.class);
                        case EVACUATION -> {} // Applied below.
                        default -> setKey(keys, digests, change);
                    }
                });
        List<Route> ordered =
                routes.isModified()
                        ? longestPrefixFirst(routes.result().values().stream())
                        : mRoutes;
        return new ConfigView(
                version,
                organisations.result(),
                keys.result(),
                digests.result(),
                services.result(),
                ordered,
                routes.isModified() ? byPrefix(ordered) : mRoutesByPrefix,
                evacuatedAfter(changes));
    }

    private Set<DataCentre> evacuatedAfter(Collection<ConfigChange> changes) {
        Set<DataCentre> evacuated = new TreeSet<>(mEvacuated);
        changes.stream()
                .filter(change -> change.objectName().kind() == ObjectKind.EVACUATION)
                .forEach(
                        change -> {
                            DataCentre dataCentre = DataCentre.of(change.objectName().id());
                            if (change instanceof Evacuation) {
                                evacuated.add(dataCentre);
                            } else {
                                evacuated.remove(dataCentre);
                            }
                        });
        return evacuated.equals(mEvacuated) ? mEvacuated : Set.copyOf(evacuated);
    }

    private static boolean changesRoutes(Collection<ConfigChange> changes) {
        return changes.stream().anyMatch(c -> c.objectName().kind() == ObjectKind.ROUTE);
    }

    private Map<ObjectName, Route> routesByName() {
        return index(mRoutes.stream(), Route::objectName);
    }

    private static void setKey(
            CopyOnWriteTable<KeyId, Key> keys,
            CopyOnWriteTable<String, Key> digests,
            ConfigChange change) {
        KeyId id = KeyId.of(change.objectName().id());
        Key old = keys.get(id);
        if (old != null && old.equals(digests.get(old.digest()))) {
            digests.remove(old.digest());
        }
        keys.set(id, change, Key.class);
        if (change instanceof Key key) {
            digests.set(key.digest(), key, Key.class);
        }
    }

    private static List<Route> longestPrefixFirst(Stream<Route> routes) {
        return routes.sorted(Comparator.comparingInt((Route r) -> -r.pathPrefix().length()))
                .collect(Collectors.toUnmodifiableList());
    }

    private static Map<String, List<Route>> byPrefix(List<Route> routes) {
        return routes.stream().collect(Collectors.groupingBy(Route::pathPrefix));
    }

    private static <K, V> Map<K, V> index(Stream<V> values, Function<V, K> key) {
        return values.collect(Collectors.toUnmodifiableMap(key, Function.identity()));
    }

    /** Returns the version, which never decreases from one view to the next. */
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

    /** Returns all keys. */
    public Stream<Key> keys() {
        return mKeys.values().stream();
    }

    /** Returns the service with the given id. */
    public Optional<Service> service(ServiceId id) {
        return Optional.ofNullable(mServices.get(id));
    }

    /** Returns all services. */
    public Stream<Service> services() {
        return mServices.values().stream();
    }

    /** Returns all routes, longest path prefix first. */
    public Stream<Route> routes() {
        return mRoutes.stream();
    }

    /**
     * Returns the limits for clients, of each the largest that a service has: the service of a
     * request is not known before its head has arrived.
     */
    public ClientLimits clientLimits() {
        return services()
                .map(Service::clientLimits)
                .filter(Objects::nonNull)
                .reduce(ClientLimits.NONE, ClientLimits::or);
    }

    /** Returns the data centres to whose targets nothing new may be sent. */
    public Set<DataCentre> evacuated() {
        return mEvacuated;
    }

    /** Returns the services of the routes for batch jobs. */
    public List<ServiceId> batchServices() {
        if (mBatchServices == null) {
            mBatchServices =
                    mRoutes.stream()
                            .filter(route -> route.policy().kind() == RequestKind.BATCH)
                            .flatMap(Route::services)
                            .distinct()
                            .toList();
        }
        return mBatchServices;
    }

    /** Returns the route with the longest prefix that matches the path, for any host name. */
    public Optional<Route> route(String path) {
        return route("", path);
    }

    /** Returns the route with the longest prefix that matches the host name and the path. */
    public Optional<Route> route(String hostName, String path) {
        for (int length = Math.min(path.length(), mLongestPrefix); length >= 0; length--) {
            List<Route> routes =
                    isSegmentEnd(path, length)
                            ? mRoutesByPrefix.get(path.substring(0, length))
                            : null;
            for (int i = 0; routes != null && i < routes.size(); i++) {
                if (routes.get(i).matchesHost(hostName)) {
                    return Optional.of(routes.get(i));
                }
            }
        }
        return Optional.empty();
    }

    /** Returns whether a prefix of this length consists of whole segments of the path. */
    private static boolean isSegmentEnd(String path, int length) {
        return path.length() == length
                || length > 0 && path.charAt(length - 1) == '/'
                || path.charAt(length) == '/'
                || path.charAt(length) == '?';
    }

    /** A table that is copied on its first write. */
    private static final class CopyOnWriteTable<K, V> {
        private final Map<K, V> mOriginal;
        private Map<K, V> mCopy;

        CopyOnWriteTable(Map<K, V> original) {
            mOriginal = original;
        }

        V get(K key) {
            return result().get(key);
        }

        void set(K key, ConfigChange change, Class<V> type) {
            if (change instanceof Removed) {
                copy().remove(key);
            } else {
                copy().put(key, type.cast(change));
            }
        }

        void remove(K key) {
            copy().remove(key);
        }

        boolean isModified() {
            return mCopy != null;
        }

        Map<K, V> result() {
            return mCopy != null ? mCopy : mOriginal;
        }

        private Map<K, V> copy() {
            if (mCopy == null) {
                mCopy = new HashMap<>(mOriginal);
            }
            return mCopy;
        }
    }
}
