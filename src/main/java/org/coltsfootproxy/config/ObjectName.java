package org.coltsfootproxy.config;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Comparator;

/**
 * The name of one object of the configuration.
 *
 * @param id the object's id, unique within its kind
 */
public record ObjectName(ObjectKind kind, String id) implements Comparable<ObjectName> {
    private static final Comparator<ObjectName> ORDER =
            Comparator.comparing(ObjectName::kind).thenComparing(ObjectName::id);

    /** Checks that both components are present. */
    public ObjectName {
        checkNotNull(kind, "kind is missing");
        checkNotNull(id, "id is missing");
    }

    /** Returns the name of the object with the given kind and id. */
    public static ObjectName of(ObjectKind kind, String id) {
        return new ObjectName(kind, id);
    }

    @Override
    public int compareTo(ObjectName other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return kind.label() + " '" + id + "'";
    }
}
