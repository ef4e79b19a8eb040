package org.coltsfootproxy.message;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Further output of a running item.
 *
 * @param offset number of output bytes before this piece
 * @param leased number of output bytes that the run began with: those of the lease, or 0 if it has
 *     begun anew since
 * @param restarts how often the item has begun anew under the lease
 * @param leasedEvent id of the last event of the output that the run began with; empty if there is
 *     none, null if unknown
 */
public record ItemProgress(
        LeaseRef lease,
        int offset,
        PartialOutput piece,
        int leased,
        int restarts,
        String leasedEvent) {
    /** Checks the components. */
    public ItemProgress {
        checkNotNull(lease, "lease is missing");
        checkArgument(offset >= 0, "offset %s is below 0", offset);
        checkNotNull(piece, "piece is missing");
    }
}
