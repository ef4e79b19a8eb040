package org.coltsfootproxy.membership;

import java.util.List;
import org.coltsfootproxy.base.RecordCodec;
import org.coltsfootproxy.base.WireCode;

/** The lease table as snapshots and results hold it. */
sealed interface LeaseImage {
    RecordCodec<LeaseImage> CODEC = RecordCodec.of(LeaseImage.class);

    /** The whole table. */
    @WireCode(1)
    record Whole(long lastFencing, List<Lease> leases) implements LeaseImage {}

    /**
     * The result of a command.
     *
     * @param fencing number of the grant, or 0 if nothing was granted
     */
    @WireCode(2)
    record Result(long fencing) implements LeaseImage {}
}
