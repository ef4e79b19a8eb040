package org.coltsfootproxy.message;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * What an agent adds to the output of an item that it runs.
 *
 * @param offset bytes of the output before this piece
 */
public record ItemProgress(LeaseRef lease, int offset, PartialOutput piece) {
    /** Checks the parts. */
    public ItemProgress {
        checkNotNull(lease, "lease is missing");
        checkArgument(offset >= 0, "offset %s is below 0", offset);
        checkNotNull(piece, "piece is missing");
    }
}
