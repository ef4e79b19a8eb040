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

    @Override
    public int compareTo(TargetId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
