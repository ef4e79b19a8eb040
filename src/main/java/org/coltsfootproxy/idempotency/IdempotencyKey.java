package org.coltsfootproxy.idempotency;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.coltsfootproxy.base.OrganisationId;

/**
 * The idempotency key of a request, unique within its organisation.
 *
 * @param value the caller's key, 1 to {@link #MAX_LENGTH} characters
 */
public record IdempotencyKey(OrganisationId organisation, String value) {
    /** Maximum length of a key in characters. */
    public static final int MAX_LENGTH = 255;

    /** Validates the components. */
    public IdempotencyKey {
        checkNotNull(organisation, "organisation");
        checkNotNull(value, "idempotency key");
        checkArgument(
                !value.isEmpty() && value.length() <= MAX_LENGTH,
                "idempotency key has %s characters; it must have 1 to 255",
                value.length());
    }

    /** Returns the key {@code value} of an organisation. */
    public static IdempotencyKey of(OrganisationId organisation, String value) {
        return new IdempotencyKey(organisation, value);
    }
}
