package org.coltsfootproxy.base;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Identifies a host of the fleet: an entry, an agent, a store or a control host. */
public record HostId(@JsonValue String value) implements Comparable<HostId> {
    /** Checks that the value is a {@linkplain Names#isValid valid name}. */
    public HostId {
        Names.check(value, "host id");
    }

    /** Returns the id with the given name. */
    @JsonCreator
    public static HostId of(String value) {
        return new HostId(value);
    }

    // Those of a record are chains of method handles, several times slower in the first compiler.
    @Override
    public boolean equals(Object other) {
        return this == other || other instanceof HostId id && value.equals(id.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public int compareTo(HostId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
