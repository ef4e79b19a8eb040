package org.coltsfootproxy.idempotency;

import java.util.List;
import org.coltsfootproxy.base.RecordCodec;
import org.coltsfootproxy.base.WireCode;

/** The form of the ledger's snapshots. */
sealed interface OnceImage {
    /** Encodes images. */
    RecordCodec<OnceImage> CODEC = RecordCodec.of(OnceImage.class);

    /**
     * The whole ledger.
     *
     * @param entries in the order of their claims
     */
    @WireCode(1)
    record Whole(long nowMillis, List<OnceEntry> entries) implements OnceImage {}
}
