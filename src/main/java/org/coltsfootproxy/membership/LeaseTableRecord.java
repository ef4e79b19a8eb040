package org.coltsfootproxy.membership;

import java.util.List;
import org.coltsfootproxy.base.RecordCodec;
import org.coltsfootproxy.base.WireCode;

/** Encoded forms of the {@link LeaseTable}: its snapshots and the results of its commands. */
sealed interface LeaseTableRecord {
    RecordCodec<LeaseTableRecord> CODEC = RecordCodec.of(LeaseTableRecord.class);

    /** The content of the table. */
    @WireCode(1)
    record Snapshot(long lastFencing, List<Lease> leases) implements LeaseTableRecord {}

    /**
     * The result of a command.
     *
     * @param fencing fencing number of the new grant, or 0 if nothing was granted
     */
    @WireCode(2)
    record Result(long fencing) implements LeaseTableRecord {}
}
