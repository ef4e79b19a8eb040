package org.coltsfootproxy.base;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Identifies a key. Unlike the key itself, the id is not secret. */
public record KeyId(@JsonValue String value) implements Comparable<KeyId> {
    /** Checks that the value is a {@linkplain Names#isValid valid name}. */
    public KeyId {
        Names.check(value, "key id");
    }

    /** Returns the id with the given name. */
    @JsonCreator
    public static KeyId of(String value) {
        return new KeyId(value);
    }

    @Override
    public int compareTo(KeyId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
