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

    @Override
    public int compareTo(HostId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
