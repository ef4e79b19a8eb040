package org.coltsfootproxy.message;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Partial output of a batch item whose target streams its answer as events.
 *
 * @param bytes data of the events, separated by line feeds
 * @param lastEvent id of the last event, from which a later run can resume; empty if there is none
 */
public record PartialOutput(byte[] bytes, String lastEvent) {
    /** No output. */
    public static final PartialOutput NONE = new PartialOutput(new byte[0], "");

    /** Checks that no component is null. */
    public PartialOutput {
        checkNotNull(bytes, "bytes are missing");
        checkNotNull(lastEvent, "lastEvent is missing");
    }
}
