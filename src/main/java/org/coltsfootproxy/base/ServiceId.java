package org.coltsfootproxy.base;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Identifies a service. */
public record ServiceId(@JsonValue String value) implements Comparable<ServiceId> {
    /** Checks the name. */
    public ServiceId {
        Names.check(value, "service id");
    }

    /** Stands for every service, in the words of a host that runs batch items of all of them. */
    public static final ServiceId ANY = new ServiceId("any:service");

    /** Tells whether a host that serves this service serves the other one. */
    public boolean covers(ServiceId other) {
        return equals(ANY) || equals(other);
    }

    /** Returns the id with the given name. */
    @JsonCreator
    public static ServiceId of(String value) {
        return new ServiceId(value);
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
