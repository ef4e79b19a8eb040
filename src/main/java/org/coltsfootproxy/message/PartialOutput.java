package org.coltsfootproxy.message;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * What runs of a batch item have made so far.
 *
 * @param bytes data of its events, with a line feed between two
 * @param lastEvent id of the last event, after which a run can go on; empty if there is none
 */
public record PartialOutput(byte[] bytes, String lastEvent) {
    /** No output. */
    public static final PartialOutput NONE = new PartialOutput(new byte[0], "");

    /** Checks the parts. */
    public PartialOutput {
        checkNotNull(bytes, "bytes are missing");
        checkNotNull(lastEvent, "lastEvent is missing");
    }
}
