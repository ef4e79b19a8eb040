package org.coltsfootproxy.idempotency;

import java.util.List;
import org.coltsfootproxy.base.RecordCodec;
import org.coltsfootproxy.base.WireCode;

/** The encoding of snapshots of the {@link IdempotencyLedger}. */
sealed interface IdempotencySnapshot {
    /** Encodes snapshots. */
    RecordCodec<IdempotencySnapshot> CODEC = RecordCodec.of(IdempotencySnapshot.class);

    /**
     * The complete state of the ledger.
     *
     * @param entries all entries in the order of their claims
     */
    @WireCode(1)
    record LedgerState(long nowMillis, List<IdempotencyEntry> entries)
            implements IdempotencySnapshot {}
}
