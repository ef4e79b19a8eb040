package org.coltsfootproxy.base;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Tells the lives of one host apart: a random number drawn at each start without earlier state. */
public record Incarnation(@JsonValue long value) {
    /** The incarnation of a host that is not known yet. */
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
