package org.coltsfootproxy.base;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Identifies a route. */
public record RouteId(@JsonValue String value) implements Comparable<RouteId> {
    /** Checks that the value is a {@linkplain Names#isValid valid name}. */
    public RouteId {
        Names.check(value, "route id");
    }

    /** Returns the id with the given name. */
    @JsonCreator
    public static RouteId of(String value) {
        return new RouteId(value);
    }

    @Override
    public int compareTo(RouteId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
