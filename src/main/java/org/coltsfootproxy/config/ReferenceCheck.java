package org.coltsfootproxy.config;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.base.ServiceId;

/**
 * Validates a ticket against the configuration that it would produce: every reference resolves, no
 * digest or path is used twice, and no kind exceeds its maximum number of objects.
 */
final class ReferenceCheck {
    private static final Map<ObjectKind, Integer> MAX_OBJECTS =
            Map.of(
                    ObjectKind.ORGANISATION, 20_000,
                    ObjectKind.KEY, 100_000,
                    ObjectKind.SERVICE, 1_000,
                    ObjectKind.ROUTE, 10_000,
                    ObjectKind.EVACUATION, 1_000);

    private final ObjectTable mTable;
    private final Map<ObjectName, ConfigChange> mChanges = new HashMap<>();

    // Both indexes hold the objects that would exist after the ticket and are built when first
    // needed. A search through all routes for each route took seconds with 1,440 routes, during
    // which a control host answered no heartbeat.
    private Map<Path, List<Route>> mRoutesByPath;
    private Map<ObjectName, ObjectName> mFirstReferrers;

    /** What two routes must not share; host names are compared without regard to case. */
    private record Path(String hostName, String pathPrefix) {
        static Path of(Route route) {
            return new Path(foldCase(route.hostName()), route.pathPrefix());
        }

        /** Maps texts to equal ones exactly if {@link String#equalsIgnoreCase} holds. */
        private static String foldCase(String text) {
            char[] chars = text.toCharArray();
            for (int i = 0; i < chars.length; i++) {
                chars[i] = Character.toLowerCase(Character.toUpperCase(chars[i]));
            }
            return new String(chars);
        }
    }

    private ReferenceCheck(ObjectTable table, Ticket ticket) {
        mTable = table;
        ticket.changes().forEach(change -> mChanges.put(change.objectName(), change));
    }

    /**
     * Checks a ticket.
     *
     * @throws ProxyException of kind {@link ErrorKind#INVALID_TICKET} with the name of the invalid
     *     object
     */
    static void check(ObjectTable table, Ticket ticket) throws ProxyException {
        var check = new ReferenceCheck(table, ticket);
        for (ConfigChange change : ticket.changes().toList()) {
            check.checkChange(change);
        }
        for (ObjectKind kind : ObjectKind.values()) {
            check.checkCount(kind);
        }
    }

    private void checkChange(ConfigChange change) throws ProxyException {
        if (change instanceof Key key) {
            checkKey(key);
        } else if (change instanceof Route route) {
            checkRoute(route);
        } else if (change instanceof Removed removed) {
            checkRemoved(removed.objectName());
        }
    }

    private void checkKey(Key key) throws ProxyException {
        mustExist(key, organisation(key.organisation()));
        Optional<ObjectName> other =
                mTable.keyByDigest(key.digest())
                        .filter(name -> !name.equals(key.objectName()))
                        .filter(name -> !mChanges.containsKey(name));
        if (other.isPresent()) {
            throw fault(key, "its digest is that of " + other.get());
        }
    }

    private void checkRoute(Route route) throws ProxyException {
        for (ServiceId service : route.services().toList()) {
            mustExist(route, service(service));
        }
        for (OrganisationId organisation : route.organisations()) {
            mustExist(route, organisation(organisation));
        }
        Optional<Route> other =
                routesByPath().getOrDefault(Path.of(route), List.of()).stream()
                        .filter(r -> !r.id().equals(route.id()))
                        .findFirst();
        if (other.isPresent()) {
            throw fault(route, "its pathPrefix is that of " + other.get().objectName());
        }
    }

    private Map<Path, List<Route>> routesByPath() {
        if (mRoutesByPath == null) {
            mRoutesByPath =
                    objectsAfter(ObjectKind.ROUTE, Route.class)
                            .collect(Collectors.groupingBy(Path::of));
        }
        return mRoutesByPath;
    }

    private void checkRemoved(ObjectName name) throws ProxyException {
        if (mTable.find(name).isEmpty()) {
            throw fault(new Removed(name), "can't be removed: it never existed");
        }
        ObjectName referrer = firstReferrers().get(name);
        if (referrer != null) {
            throw fault(new Removed(name), "can't be removed: " + referrer + " refers to it");
        }
    }

    /** Returns the first object that refers to each one: the keys come before the routes. */
    private Map<ObjectName, ObjectName> firstReferrers() {
        if (mFirstReferrers == null) {
            mFirstReferrers = new HashMap<>();
            objectsAfter(ObjectKind.KEY, Key.class)
                    .forEach(key -> addReferrer(key, organisation(key.organisation())));
            objectsAfter(ObjectKind.ROUTE, Route.class)
                    .forEach(
                            route -> {
                                route.organisations()
                                        .forEach(o -> addReferrer(route, organisation(o)));
                                route.services().forEach(s -> addReferrer(route, service(s)));
                            });
        }
        return mFirstReferrers;
    }

    private void addReferrer(ConfigObject referrer, ObjectName referent) {
        mFirstReferrers.putIfAbsent(referent, referrer.objectName());
    }

    private static ObjectName organisation(OrganisationId id) {
        return ObjectName.of(ObjectKind.ORGANISATION, id.value());
    }

    private static ObjectName service(ServiceId id) {
        return ObjectName.of(ObjectKind.SERVICE, id.value());
    }

    /** Returns the objects of a kind that would exist after the ticket. */
    private <T extends ConfigObject> Stream<T> objectsAfter(ObjectKind kind, Class<T> type) {
        Stream<T> unchanged =
                mTable.objects(kind, type).filter(o -> !mChanges.containsKey(o.objectName()));
        Stream<T> changed =
                mChanges.values().stream()
                        .filter(type::isInstance)
                        .map(type::cast)
                        .sorted(java.util.Comparator.comparing(ConfigChange::objectName));
        return Stream.concat(changed, unchanged);
    }

    private void mustExist(ConfigObject referrer, ObjectName name) throws ProxyException {
        ConfigChange changed = mChanges.get(name);
        boolean exists =
                changed != null
                        ? changed instanceof ConfigObject
                        : mTable.find(name).filter(versioned -> !versioned.isRemoved()).isPresent();
        if (!exists) {
            throw fault(referrer, "refers to " + name + ", which does not exist");
        }
    }

    private void checkCount(ObjectKind kind) throws ProxyException {
        long change =
                mChanges.values().stream()
                        .filter(c -> c.objectName().kind() == kind)
                        .mapToInt(this::countDelta)
                        .sum();
        int max = MAX_OBJECTS.get(kind);
        if (change > 0 && mTable.count(kind) + change > max) {
            String detail = "there would be more than " + max + " " + kind.plural();
            throw ProxyException.of(ErrorKind.INVALID_TICKET, detail);
        }
    }

    private int countDelta(ConfigChange change) {
        boolean existed = mTable.find(change.objectName()).filter(v -> !v.isRemoved()).isPresent();
        boolean exists = change instanceof ConfigObject;
        return Boolean.compare(exists, existed);
    }

    private static ProxyException fault(ConfigChange change, String detail) {
        return ProxyException.of(ErrorKind.INVALID_TICKET, change.objectName() + ": " + detail);
    }
}
