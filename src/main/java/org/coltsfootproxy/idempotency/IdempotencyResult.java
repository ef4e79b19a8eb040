package org.coltsfootproxy.idempotency;

import org.coltsfootproxy.base.RecordCodec;
import org.coltsfootproxy.base.WireCode;

/** The result of an {@link IdempotencyCommand}, the same on every member. */
public sealed interface IdempotencyResult {
    /** Encodes results. */
    RecordCodec<IdempotencyResult> CODEC = RecordCodec.of(IdempotencyResult.class);

    /** The request is to be run by its claimant, and by nobody else. */
    @WireCode(1)
    record Claimed() implements IdempotencyResult {}

    /** Another request with this key and content runs. */
    @WireCode(2)
    record Running() implements IdempotencyResult {}

    /** A request with this key and other content was claimed. */
    @WireCode(3)
    record Conflict() implements IdempotencyResult {}

    /** The request has run and had this answer. */
    @WireCode(4)
    record Answered(StoredAnswer answer) implements IdempotencyResult {}

    /** The request may have run; its answer is lost. */
    @WireCode(5)
    record Lost() implements IdempotencyResult {}

    /** The record is full; the request did not run. */
    @WireCode(6)
    record Full() implements IdempotencyResult {}

    /** The command was taken. */
    @WireCode(7)
    record Done() implements IdempotencyResult {}

    /** The command was not taken, as the key isn't claimed by this request. */
    @WireCode(8)
    record Ignored() implements IdempotencyResult {}
}
