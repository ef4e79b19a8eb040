package org.coltsfootproxy.base;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Identifies a batch job within its organisation. */
public record JobId(@JsonValue String value) implements Comparable<JobId> {
    /** Checks that the value is a {@linkplain Names#isValid valid name}. */
    public JobId {
        Names.check(value, "job id");
    }

    /** Returns the id with the given name. */
    @JsonCreator
    public static JobId of(String value) {
        return new JobId(value);
    }

    @Override
    public int compareTo(JobId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
