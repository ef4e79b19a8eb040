package org.coltsfootproxy.base;

import static com.google.common.base.Preconditions.checkNotNull;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Identifies a region, in which one or more data centres lie. */
public record Region(@JsonValue String value) implements Comparable<Region> {
    /** Checks that there is a value; any text may name a region. */
    public Region {
        checkNotNull(value, "region is missing");
    }

    /** Returns the id with the given name. */
    @JsonCreator
    public static Region of(String value) {
        return new Region(value);
    }

    @Override
    public int compareTo(Region other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
