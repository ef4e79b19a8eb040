package org.coltsfootproxy.idempotency;

import org.coltsfootproxy.base.RecordCodec;
import org.coltsfootproxy.base.RequestId;
import org.coltsfootproxy.base.WireCode;

/**
 * A command of the {@link IdempotencyLedger}; times are milliseconds since 1970 at the proposer.
 */
public sealed interface IdempotencyCommand {
    /** Encodes commands. */
    RecordCodec<IdempotencyCommand> CODEC = RecordCodec.of(IdempotencyCommand.class);

    /** Returns the proposer's time. */
    long nowMillis();

    /**
     * Run this request unless one with its key was claimed before.
     *
     * @param digest digest of the request's content
     * @param deadlineMillis time after which the claimant no longer runs it
     */
    @WireCode(1)
    record Claim(
            IdempotencyKey key,
            String digest,
            RequestId request,
            long nowMillis,
            long deadlineMillis)
            implements IdempotencyCommand {}

    /** The claimed request has this answer. */
    @WireCode(2)
    record Finish(IdempotencyKey key, RequestId request, StoredAnswer answer, long nowMillis)
            implements IdempotencyCommand {}

    /**
     * The claimed request ended without a whole answer.
     *
     * @param mayHaveRun if not, the key is free again
     */
    @WireCode(3)
    record Settle(IdempotencyKey key, RequestId request, boolean mayHaveRun, long nowMillis)
            implements IdempotencyCommand {}

    /** Forget the keys whose time is over. */
    @WireCode(4)
    record Expire(long nowMillis) implements IdempotencyCommand {}
}
