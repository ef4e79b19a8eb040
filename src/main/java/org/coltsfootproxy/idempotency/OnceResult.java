package org.coltsfootproxy.idempotency;

import org.coltsfootproxy.base.RecordCodec;
import org.coltsfootproxy.base.WireCode;

/** The result of an {@link OnceCommand}, the same on every member. */
public sealed interface OnceResult {
    /** Encodes results. */
    RecordCodec<OnceResult> CODEC = RecordCodec.of(OnceResult.class);

    /** The request is to be run by its claimant, and by nobody else. */
    @WireCode(1)
    record Claimed() implements OnceResult {}

    /** Another request with this key and content runs. */
    @WireCode(2)
    record Running() implements OnceResult {}

    /** A request with this key and other content was claimed. */
    @WireCode(3)
    record Conflict() implements OnceResult {}

    /** The request has run and had this answer. */
    @WireCode(4)
    record Answered(StoredAnswer answer) implements OnceResult {}

    /** The request may have run; its answer is lost. */
    @WireCode(5)
    record Lost() implements OnceResult {}

    /** The record is full; the request did not run. */
    @WireCode(6)
    record Full() implements OnceResult {}

    /** The command was taken. */
    @WireCode(7)
    record Done() implements OnceResult {}

    /** The command was not taken, as the key isn't claimed by this request. */
    @WireCode(8)
    record Ignored() implements OnceResult {}
}
