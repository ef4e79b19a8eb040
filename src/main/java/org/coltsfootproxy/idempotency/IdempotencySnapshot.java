package org.coltsfootproxy.idempotency;

import java.util.List;
import org.coltsfootproxy.base.RecordCodec;
import org.coltsfootproxy.base.WireCode;

/** The form of the ledger's snapshots. */
sealed interface IdempotencySnapshot {
    /** Encodes images. */
    RecordCodec<IdempotencySnapshot> CODEC = RecordCodec.of(IdempotencySnapshot.class);

    /**
     * The whole ledger.
     *
     * @param entries in the order of their claims
     */
    @WireCode(1)
    record Whole(long nowMillis, List<IdempotencyEntry> entries) implements IdempotencySnapshot {}
}
