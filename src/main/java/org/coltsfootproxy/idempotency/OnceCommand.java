package org.coltsfootproxy.idempotency;

import org.coltsfootproxy.base.RecordCodec;
import org.coltsfootproxy.base.RequestId;
import org.coltsfootproxy.base.WireCode;

/** A command of the {@link OnceLedger}; times are milliseconds since 1970 at the proposer. */
public sealed interface OnceCommand {
    /** Encodes commands. */
    RecordCodec<OnceCommand> CODEC = RecordCodec.of(OnceCommand.class);

    /** Returns the proposer's time. */
    long nowMillis();

    /**
     * Run this request unless one with its key was claimed before.
     *
     * @param digest digest of the request's content
     * @param deadlineMillis time after which the claimant no longer runs it
     */
    @WireCode(1)
    record Claim(OnceKey key, String digest, RequestId request, long nowMillis, long deadlineMillis)
            implements OnceCommand {}

    /** The claimed request has this answer. */
    @WireCode(2)
    record Finish(OnceKey key, RequestId request, StoredAnswer answer, long nowMillis)
            implements OnceCommand {}

    /**
     * The claimed request ended without a whole answer.
     *
     * @param mayHaveRun if not, the key is free again
     */
    @WireCode(3)
    record Settle(OnceKey key, RequestId request, boolean mayHaveRun, long nowMillis)
            implements OnceCommand {}

    /** Forget the keys whose time is over. */
    @WireCode(4)
    record Expire(long nowMillis) implements OnceCommand {}
}
