package org.coltsfootproxy.idempotency;

import org.coltsfootproxy.base.RecordCodec;
import org.coltsfootproxy.base.RequestId;
import org.coltsfootproxy.base.WireCode;

/**
 * A replicated command of the {@link IdempotencyLedger}.
 *
 * <p>Times are milliseconds since the epoch on the proposer's clock.
 */
public sealed interface IdempotencyCommand {
    /** Encodes commands. */
    RecordCodec<IdempotencyCommand> CODEC = RecordCodec.of(IdempotencyCommand.class);

    /** Returns the time at which the command was proposed. */
    long nowMillis();

    /**
     * Claims a key for a request, so that the request runs only if the key was free.
     *
     * @param digest digest of the request's content
     * @param deadlineMillis time after which the claimant no longer runs the request
     */
    @WireCode(1)
    record Claim(
            IdempotencyKey key,
            String digest,
            RequestId request,
            long nowMillis,
            long deadlineMillis)
            implements IdempotencyCommand {}

    /** Records the answer to the request that claimed the key. */
    @WireCode(2)
    record Finish(IdempotencyKey key, RequestId request, StoredAnswer answer, long nowMillis)
            implements IdempotencyCommand {}

    /**
     * Records that the request that claimed the key ended without a complete answer.
     *
     * @param mayHaveRun whether the request may have run; if not, the key is released
     */
    @WireCode(3)
    record Settle(IdempotencyKey key, RequestId request, boolean mayHaveRun, long nowMillis)
            implements IdempotencyCommand {}

    /** Removes the keys whose retention has ended. */
    @WireCode(4)
    record Expire(long nowMillis) implements IdempotencyCommand {}
}
