package org.coltsfootproxy.idempotency;

import org.coltsfootproxy.base.RequestId;

/**
 * What is recorded of one key.
 *
 * @param answer the answer, or null while there is none
 * @param isLost whether the request may have run and its claimant knows no answer
 */
record IdempotencyEntry(
        IdempotencyKey key,
        String digest,
        RequestId request,
        StoredAnswer answer,
        boolean isLost,
        long deadlineMillis,
        long forgetMillis) {
    IdempotencyEntry answered(StoredAnswer given) {
        return new IdempotencyEntry(
                key, digest, request, given, false, deadlineMillis, forgetMillis);
    }

    IdempotencyEntry lost() {
        return new IdempotencyEntry(key, digest, request, null, true, deadlineMillis, forgetMillis);
    }

    /** Returns what a request of the same content is told. */
    IdempotencyResult resultAt(long now) {
        if (answer != null) {
            return new IdempotencyResult.Answered(answer);
        }
        return isLost || now > deadlineMillis
                ? new IdempotencyResult.Lost()
                : new IdempotencyResult.Running();
    }
}
