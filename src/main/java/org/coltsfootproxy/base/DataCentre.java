package org.coltsfootproxy.base;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Identifies a data centre. */
public record DataCentre(@JsonValue String value) implements Comparable<DataCentre> {
    /** Checks that the value is a {@linkplain Names#isValid valid name}. */
    public DataCentre {
        Names.check(value, "data centre");
    }

    /** Returns the id with the given name. */
    @JsonCreator
    public static DataCentre of(String value) {
        return new DataCentre(value);
    }

    @Override
    public int compareTo(DataCentre other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
