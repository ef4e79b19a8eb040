package org.coltsfootproxy.message;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Further output of a running item.
 *
 * @param offset number of output bytes before this piece
 */
public record ItemProgress(LeaseRef lease, int offset, PartialOutput piece) {
    /** Checks the components. */
    public ItemProgress {
        checkNotNull(lease, "lease is missing");
        checkArgument(offset >= 0, "offset %s is below 0", offset);
        checkNotNull(piece, "piece is missing");
    }
}
