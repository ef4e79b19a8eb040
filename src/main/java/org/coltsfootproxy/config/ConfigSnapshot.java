package org.coltsfootproxy.config;

import java.util.List;
import org.coltsfootproxy.base.RecordCodec;
import org.coltsfootproxy.base.WireCode;

/** The encoded form of {@link ConfigState} in snapshots. */
sealed interface ConfigSnapshot {
    RecordCodec<ConfigSnapshot> CODEC = RecordCodec.of(ConfigSnapshot.class);

    /**
     * The complete state. The arrays hold the fields of the accepted tickets, one array per field,
     * ordered by ticket number.
     */
    @WireCode(1)
    record Contents(
            long version,
            long floor,
            long minDeltaVersion,
            List<EncodedChange> versionedChanges,
            long[] numbers,
            long[] digestsHigh,
            long[] digestsLow,
            long[] versions,
            List<CachedRefusal> refusals,
            ConfigDocument document)
            implements ConfigSnapshot {}

    /** An object or tombstone, with the ticket and version that set it. */
    record EncodedChange(byte[] change, long ticket, long version) {}

    /** A cached refusal. */
    record CachedRefusal(long number, long digestHigh, long digestLow, String detail) {}
}
