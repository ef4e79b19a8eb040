package org.coltsfootproxy.idempotency;

import java.util.List;
import org.coltsfootproxy.base.RecordCodec;
import org.coltsfootproxy.base.WireCode;

/** The encoding of snapshots of the {@link IdempotencyLedger}. */
sealed interface IdempotencySnapshot {
    /** Encodes snapshots. */
    RecordCodec<IdempotencySnapshot> CODEC = RecordCodec.of(IdempotencySnapshot.class);

    /**
     * The state of the whole ledger.
     *
     * @param entries all entries in the order of their claims
     */
    @WireCode(1)
    record Whole(long nowMillis, List<IdempotencyEntry> entries) implements IdempotencySnapshot {}
}
