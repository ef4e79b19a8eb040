package org.coltsfootproxy.idempotency;

import org.coltsfootproxy.base.RequestId;

/**
 * What is recorded of one key.
 *
 * @param answer the answer, or null while there is none
 * @param isLost whether the request may have run and its claimant knows no answer
 */
record OnceEntry(
        OnceKey key,
        String digest,
        RequestId request,
        StoredAnswer answer,
        boolean isLost,
        long deadlineMillis,
        long forgetMillis) {
    OnceEntry answered(StoredAnswer given) {
        return new OnceEntry(key, digest, request, given, false, deadlineMillis, forgetMillis);
    }

    OnceEntry lost() {
        return new OnceEntry(key, digest, request, null, true, deadlineMillis, forgetMillis);
    }

    /** Returns what a request of the same content is told. */
    OnceResult resultAt(long now) {
        if (answer != null) {
            return new OnceResult.Answered(answer);
        }
        return isLost || now > deadlineMillis ? new OnceResult.Lost() : new OnceResult.Running();
    }
}
