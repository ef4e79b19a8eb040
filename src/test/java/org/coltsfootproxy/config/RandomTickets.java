package org.coltsfootproxy.config;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import org.coltsfootproxy.base.KeyId;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.RouteId;
import org.coltsfootproxy.base.ServiceId;

/**
 * Generates random tickets over a small set of names, so that tickets often change the same
 * objects.
 */
final class RandomTickets {
    private static final int NAME_COUNT = 4;

    private final Random mRandom;

    RandomTickets(Random random) {
        mRandom = random;
    }

    /** Returns a ticket with the given number that changes one to four objects. */
    Ticket next(long number) {
        Map<ObjectName, ConfigChange> changes = new LinkedHashMap<>();
        int count = 1 + mRandom.nextInt(4);
        for (int i = 0; i < count; i++) {
            ConfigChange change = mRandom.nextInt(4) == 0 ? removal() : object();
            changes.put(change.objectName(), change);
        }
        return ticket(number, changes.values().stream().toList());
    }

    static Ticket ticket(long number, List<ConfigChange> changes) {
        List<ObjectName> remove = new ArrayList<>();
        changes.stream().filter(Removed.class::isInstance).forEach(c -> remove.add(c.objectName()));
        return new Ticket(
                number,
                ofType(changes, Organisation.class),
                ofType(changes, Key.class),
                ofType(changes, Service.class),
                ofType(changes, Route.class),
                remove);
    }

    private static <T> List<T> ofType(List<ConfigChange> changes, Class<T> type) {
        return changes.stream().filter(type::isInstance).map(type::cast).toList();
    }

    private String name() {
        return "n" + mRandom.nextInt(NAME_COUNT);
    }

    private ConfigChange removal() {
        List<ObjectKind> kinds =
                Arrays.stream(ObjectKind.values()).filter(ObjectKind::isSetByTickets).toList();
        ObjectKind kind = kinds.get(mRandom.nextInt(kinds.size()));
        return new Removed(ObjectName.of(kind, name()));
    }

    private ConfigObject object() {
        return switch (mRandom.nextInt(5)) {
            case 0, 1 -> organisation(name(), 1 + mRandom.nextInt(3));
            case 2 -> key(name(), name(), mRandom.nextInt(NAME_COUNT));
            case 3 -> Service.of(ServiceId.of(name()), false, 1 + mRandom.nextInt(3), List.of());
            default ->
                    Route.of(
                            RouteId.of(name()),
                            "/" + name(),
                            ServiceId.of(name()),
                            false,
                            mRandom.nextBoolean() ? Set.of() : Set.of(OrganisationId.of(name())),
                            Set.of("GET"),
                            1000);
        };
    }

    static Organisation organisation(String name, double rate) {
        return new Organisation(OrganisationId.of(name), rate, 1, 1);
    }

    static Key key(String name, String organisation, int digest) {
        return new Key(
                KeyId.of(name), OrganisationId.of(organisation), KeyDigest.of("key " + digest));
    }
}
