package org.coltsfootproxy.idempotency;

import org.coltsfootproxy.base.RequestId;

/**
 * The state of one idempotency key.
 *
 * @param answer the stored answer, or null if none is recorded
 * @param isLost whether the claimant reported that the request may have run without a complete
 *     answer
 * @param deadlineMillis time after which a claim without an answer counts as lost
 * @param forgetMillis time at which the key's retention ends
 */
record IdempotencyEntry(
        IdempotencyKey key,
        String digest,
        RequestId request,
        StoredAnswer answer,
        boolean isLost,
        long deadlineMillis,
        long forgetMillis) {
    IdempotencyEntry withAnswer(StoredAnswer stored) {
        return new IdempotencyEntry(
                key, digest, request, stored, false, deadlineMillis, forgetMillis);
    }

    IdempotencyEntry withLostAnswer() {
        return new IdempotencyEntry(key, digest, request, null, true, deadlineMillis, forgetMillis);
    }

    /** Returns the result for a resend with the same content at time {@code now}. */
    IdempotencyResult resultAt(long now) {
        if (answer != null) {
            return new IdempotencyResult.Answered(answer);
        }
        return isLost || now > deadlineMillis
                ? new IdempotencyResult.Lost()
                : new IdempotencyResult.Running();
    }
}
