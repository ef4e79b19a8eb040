package org.coltsfootproxy.config;

import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * A numbered change: the whole new state of each object that it touches, and removals.
 *
 * <p>Two tickets of the same content are equal, whatever the order in which they were written.
 *
 * @param number chosen by the operator, from 1; one series over the whole fleet
 * @param remove names of the objects to remove
 */
public record Ticket(
        long number,
        List<Organisation> organisations,
        List<Key> keys,
        List<Service> services,
        List<Route> routes,
        List<ObjectName> remove) {
    /** Largest ticket number: the largest that every JSON reader keeps exact. */
    public static final long MAX_NUMBER = (1L << 53) - 1;

    /** Most objects that one ticket may touch. */
    public static final int MAX_OBJECTS = 5_000;

    /** Orders the lists. */
    public Ticket {
        organisations = ordered(organisations);
        keys = ordered(keys);
        services = ordered(services);
        routes = ordered(routes);
        remove = remove.stream().sorted().toList();
    }

    private static <T extends ConfigObject> List<T> ordered(List<T> objects) {
        return objects.stream().sorted(Comparator.comparing(ConfigChange::objectName)).toList();
    }

    /** Returns the changes: objects first, then removals, each in the order of their names. */
    public Stream<ConfigChange> changes() {
        Stream<ConfigChange> set =
                Stream.of(organisations, keys, services, routes).flatMap(List::stream);
        return Stream.concat(set, remove.stream().map(Removed::new));
    }
}
