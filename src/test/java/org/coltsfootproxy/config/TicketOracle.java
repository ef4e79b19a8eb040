package org.coltsfootproxy.config;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.coltsfootproxy.config.Verdict.Outcome;

/** A test oracle: the rules for tickets in their simplest form, with unlimited memory. */
final class TicketOracle {
    private final Map<ObjectName, Long> mNumbers = new HashMap<>();
    private final Map<Long, Ticket> mAccepted = new HashMap<>();
    private final Set<Ticket> mInvalid = new HashSet<>();
    private Map<ObjectName, ConfigObject> mObjects = new TreeMap<>();
    private long mVersion;

    Map<ObjectName, ConfigObject> objects() {
        return mObjects;
    }

    long version() {
        return mVersion;
    }

    long number(ObjectName name) {
        return mNumbers.getOrDefault(name, 0L);
    }

    Outcome apply(Ticket ticket) {
        if (hasDuplicates(ticket.keys().stream().map(Key::digest).toList())
                || hasDuplicates(ticket.routes().stream().map(Route::pathPrefix).toList())) {
            return Outcome.INVALID;
        }
        if (ticket.equals(mAccepted.get(ticket.number()))) {
            return Outcome.ACCEPTED;
        }
        if (mInvalid.contains(ticket)) {
            return Outcome.INVALID;
        }
        if (mAccepted.containsKey(ticket.number())) {
            return Outcome.CONFLICT;
        }
        List<ConfigChange> changes = ticket.changes().toList();
        if (changes.stream().anyMatch(c -> number(c.objectName()) >= ticket.number())) {
            return Outcome.STALE;
        }
        Map<ObjectName, ConfigObject> newObjects = new TreeMap<>(mObjects);
        for (ConfigChange change : changes) {
            if (change instanceof ConfigObject object) {
                newObjects.put(object.objectName(), object);
            } else {
                newObjects.remove(change.objectName());
            }
        }
        if (!isConsistent(newObjects)
                || !ticket.remove().stream().allMatch(mNumbers::containsKey)) {
            mInvalid.add(ticket);
            return Outcome.INVALID;
        }
        mObjects = newObjects;
        mVersion++;
        mAccepted.put(ticket.number(), ticket);
        changes.forEach(change -> mNumbers.put(change.objectName(), ticket.number()));
        return Outcome.ACCEPTED;
    }

    private static boolean hasDuplicates(List<String> values) {
        return Set.copyOf(values).size() < values.size();
    }

    private static boolean isConsistent(Map<ObjectName, ConfigObject> objects) {
        Set<String> uniqueValues = new HashSet<>();
        return objects.values().stream()
                .allMatch(object -> isConsistent(object, objects, uniqueValues));
    }

    private static boolean isConsistent(
            ConfigObject object, Map<ObjectName, ConfigObject> objects, Set<String> uniqueValues) {
        if (object instanceof Key key) {
            return uniqueValues.add(key.digest())
                    && objects.containsKey(organisation(key.organisation().value()));
        }
        if (object instanceof Route route) {
            return uniqueValues.add(route.pathPrefix())
                    && objects.containsKey(
                            ObjectName.of(ObjectKind.SERVICE, route.service().value()))
                    && route.organisations().stream()
                            .allMatch(o -> objects.containsKey(organisation(o.value())));
        }
        return true;
    }

    private static ObjectName organisation(String id) {
        return ObjectName.of(ObjectKind.ORGANISATION, id);
    }
}
