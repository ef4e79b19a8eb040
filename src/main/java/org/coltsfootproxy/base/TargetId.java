package org.coltsfootproxy.base;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Identifies a target, which serves one service. */
public record TargetId(@JsonValue String value) implements Comparable<TargetId> {
    /** Checks that the value is a {@linkplain Names#isValid valid name}. */
    public TargetId {
        Names.check(value, "target id");
    }

    /** Returns the id with the given name. */
    @JsonCreator
    public static TargetId of(String value) {
        return new TargetId(value);
    }

    // Those of a record are chains of method handles, several times slower in the first compiler.
    @Override
    public boolean equals(Object other) {
        return this == other || other instanceof TargetId id && value.equals(id.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
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
