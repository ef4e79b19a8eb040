package org.coltsfootproxy.base;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Identifies a service. */
public record ServiceId(@JsonValue String value) implements Comparable<ServiceId> {
    /** Checks that the value is a {@linkplain Names#isValid valid name}. */
    public ServiceId {
        Names.check(value, "service id");
    }

    /** Denotes all services; sent by hosts that run batch items of every service. */
    public static final ServiceId ANY = new ServiceId("any:service");

    /** Returns whether this id is equal to {@code other} or is {@link #ANY}. */
    public boolean covers(ServiceId other) {
        return equals(ANY) || equals(other);
    }

    /** Returns the id with the given name. */
    @JsonCreator
    public static ServiceId of(String value) {
        return new ServiceId(value);
    }

    // Those of a record are chains of method handles, several times slower in the first compiler.
    @Override
    public boolean equals(Object other) {
        return this == other || other instanceof ServiceId id && value.equals(id.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public int compareTo(ServiceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
