package org.coltsfootproxy.base;

import com.fasterxml.jackson.annotation.JsonCreator;
import com.fasterxml.jackson.annotation.JsonValue;

/** Identifies an organisation. */
public record OrganisationId(@JsonValue String value) implements Comparable<OrganisationId> {
    /** Checks that the value is a {@linkplain Names#isValid valid name}. */
    public OrganisationId {
        Names.check(value, "organisation id");
    }

    /** Returns the id with the given name. */
    @JsonCreator
    public static OrganisationId of(String value) {
        return new OrganisationId(value);
    }

    // Those of a record are chains of method handles, several times slower in the first compiler.
    @Override
    public boolean equals(Object other) {
        return this == other || other instanceof OrganisationId id && value.equals(id.value);
    }

    @Override
    public int hashCode() {
        return value.hashCode();
    }

    @Override
    public int compareTo(OrganisationId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
