package org.coltsfootproxy.base;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Distinguishes the incarnations of one host.
 *
 * <p>The value is a random odd number that a host draws when it starts without earlier state. A
 * host with a data folder keeps its incarnation across restarts as long as it keeps the folder.
 */
public record Incarnation(@JsonValue long value) {
    /** Placeholder (0) for an incarnation that is not known yet. No host uses it. */
    public static final Incarnation UNKNOWN = new Incarnation(0);

    /** Returns the incarnation with the given number. */
    @JsonCreator
    public static Incarnation of(long value) {
        return new Incarnation(value);
    }

    @Override
    public String toString() {
        return Long.toHexString(value);
    }
}
