package org.coltsfootproxy.idempotency;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.coltsfootproxy.base.OrganisationId;

/**
 * The idempotency key of a request, within its organisation.
 *
 * @param value the caller's key, 1 to {@link #MAX_LENGTH} characters
 */
public record IdempotencyKey(OrganisationId organisation, String value) {
    /** Longest key in characters. */
    public static final int MAX_LENGTH = 255;

    /** Checks the parts. */
    public IdempotencyKey {
        checkNotNull(organisation, "organisation");
        checkNotNull(value, "idempotency key");
        checkArgument(
                !value.isEmpty() && value.length() <= MAX_LENGTH,
                "idempotency key of %s characters",
                value.length());
    }

    /** Returns the key with the given parts. */
    public static IdempotencyKey of(OrganisationId organisation, String value) {
        return new IdempotencyKey(organisation, value);
    }
}
