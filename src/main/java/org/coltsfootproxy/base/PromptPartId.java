package org.coltsfootproxy.base;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Identifies a part of a prompt, which many requests may share. */
public record PromptPartId(@JsonValue String value) implements Comparable<PromptPartId> {
    /** Checks that the value is a {@linkplain Names#isValid valid name}. */
    public PromptPartId {
        Names.check(value, "prompt part id");
    }

    /** Returns the id with the given name. */
    @JsonCreator
    public static PromptPartId of(String value) {
        return new PromptPartId(value);
    }

    @Override
    public int compareTo(PromptPartId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
