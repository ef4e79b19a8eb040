package org.coltsfootproxy.idempotency;

import org.coltsfootproxy.base.RecordCodec;
import org.coltsfootproxy.base.WireCode;

/** The result of an {@link IdempotencyCommand}; it is the same on every member. */
public sealed interface IdempotencyResult {
    /** Encodes results. */
    RecordCodec<IdempotencyResult> CODEC = RecordCodec.of(IdempotencyResult.class);

    /** The key is claimed; only the claimant may run the request. */
    @WireCode(1)
    record Claimed() implements IdempotencyResult {}

    /** Another request with the same key and content is running. */
    @WireCode(2)
    record Running() implements IdempotencyResult {}

    /** The key is claimed by a request with different content. */
    @WireCode(3)
    record Conflict() implements IdempotencyResult {}

    /** The request has run and was answered. */
    @WireCode(4)
    record Answered(StoredAnswer answer) implements IdempotencyResult {}

    /** The request may have run, and its answer is lost. */
    @WireCode(5)
    record Lost() implements IdempotencyResult {}

    /** The ledger is full; the request did not run. */
    @WireCode(6)
    record Full() implements IdempotencyResult {}

    /** The command was applied. */
    @WireCode(7)
    record Done() implements IdempotencyResult {}

    /** The command had no effect: the request holds no unanswered claim on the key. */
    @WireCode(8)
    record Ignored() implements IdempotencyResult {}
}
