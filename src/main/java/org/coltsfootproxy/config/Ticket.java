package org.coltsfootproxy.config;

import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * A numbered change ticket: the complete new state of each object that it sets, and the names of
 * objects to remove.
 *
 * <p>Tickets with the same content are equal, whatever the order in which it was written.
 *
 * @param number chosen by the operator, at least 1; one sequence for the whole fleet
 * @param remove names of the objects to remove
 */
public record Ticket(
        long number,
        List<Organisation> organisations,
        List<Key> keys,
        List<Service> services,
        List<Route> routes,
        List<ObjectName> remove) {
    /** Maximum ticket number: the largest integer that every JSON reader represents exactly. */
    public static final long MAX_NUMBER = (1L << 53) - 1;

    /** Maximum number of objects that one ticket may set or remove. */
    public static final int MAX_OBJECTS = 5_000;

    /** Sorts the lists by name. */
    public Ticket {
        organisations = sortedByName(organisations);
        keys = sortedByName(keys);
        services = sortedByName(services);
        routes = sortedByName(routes);
        remove = remove.stream().sorted().toList();
    }

    private static <T extends ConfigObject> List<T> sortedByName(List<T> objects) {
        return objects.stream().sorted(Comparator.comparing(ConfigChange::objectName)).toList();
    }

    /**
     * Returns the changes: first the objects of each kind, then the removals, each sorted by name.
     */
    public Stream<ConfigChange> changes() {
        Stream<ConfigChange> set =
                Stream.of(organisations, keys, services, routes).flatMap(List::stream);
        return Stream.concat(set, remove.stream().map(Removed::new));
    }
}
