package org.coltsfootproxy.base;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/**
 * Version of the software that a target runs. Versions are compared for equality only, as their
 * names have no order.
 */
public record SoftwareVersion(@JsonValue String value) {
    /** The version of targets that name none. */
    public static final SoftwareVersion UNNAMED = new SoftwareVersion("unnamed");

    /** Checks that the value is a {@linkplain Names#isValid valid name}. */
    public SoftwareVersion {
        Names.check(value, "software version");
    }

    /** Returns the version with the given name. */
    @JsonCreator
    public static SoftwareVersion of(String value) {
        return new SoftwareVersion(value);
    }

    @Override
    public String toString() {
        return value;
    }
}
