package org.coltsfootproxy.idempotency;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Bounds of the record; the same on every member.
 *
 * @param maxKeys most keys kept
 * @param maxKeysOfOne most keys kept for one organisation
 * @param maxAnswerBytes largest body kept for resends
 * @param keepMillis how long a key is kept from its claim
 */
public record IdempotencyLimits(
        int maxKeys, int maxKeysOfOne, int maxAnswerBytes, long keepMillis) {
    private static final long DAY_MILLIS = 24L * 60 * 60 * 1_000;

    /** Checks the bounds. */
    public IdempotencyLimits {
        checkArgument(maxKeys > 0, "max keys %s", maxKeys);
        checkArgument(maxKeysOfOne > 0, "max keys of one %s", maxKeysOfOne);
        checkArgument(maxAnswerBytes >= 0, "max answer bytes %s", maxAnswerBytes);
        checkArgument(keepMillis > 0, "keep %s", keepMillis);
    }

    /** Returns the default bounds. */
    public static IdempotencyLimits defaults() {
        return new IdempotencyLimits(50_000, 10_000, 4 << 10, DAY_MILLIS);
    }
}
