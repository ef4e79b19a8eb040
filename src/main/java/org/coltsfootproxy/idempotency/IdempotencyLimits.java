package org.coltsfootproxy.idempotency;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Bounds of the {@link IdempotencyLedger}; they must be the same on every member.
 *
 * @param maxKeys maximum number of keys
 * @param maxKeysPerOrganisation maximum number of keys of one organisation
 * @param maxAnswerBytes maximum size of a body that is stored for resends
 * @param retentionMillis how long a key is kept after its claim
 */
public record IdempotencyLimits(
        int maxKeys, int maxKeysPerOrganisation, int maxAnswerBytes, long retentionMillis) {
    private static final long DAY_MILLIS = 24L * 60 * 60 * 1_000;

    /** Validates the bounds. */
    public IdempotencyLimits {
        checkArgument(maxKeys > 0, "maxKeys %s must be positive", maxKeys);
        checkArgument(
                maxKeysPerOrganisation > 0,
                "maxKeysPerOrganisation %s must be positive",
                maxKeysPerOrganisation);
        checkArgument(
                maxAnswerBytes >= 0, "maxAnswerBytes %s must not be negative", maxAnswerBytes);
        checkArgument(retentionMillis > 0, "retentionMillis %s must be positive", retentionMillis);
    }

    /** Returns the default bounds. */
    public static IdempotencyLimits defaults() {
        return new IdempotencyLimits(50_000, 10_000, 4 << 10, DAY_MILLIS);
    }
}
