package org.coltsfootproxy.base;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Identifies a target of a service. */
public record TargetId(@JsonValue String value) implements Comparable<TargetId> {
    /** Checks the name. */
    public TargetId {
        Names.check(value, "target id");
    }

    /** Returns the id with the given name. */
    @JsonCreator
    public static TargetId of(String value) {
        return new TargetId(value);
    }

    @Override
    public int compareTo(TargetId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
