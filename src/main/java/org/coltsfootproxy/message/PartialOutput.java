package org.coltsfootproxy.message;

import static com.google.common.base.Preconditions.checkNotNull;

import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.base.SoftwareVersion;

/**
 * Partial output of a batch item whose target streams its answer as events.
 *
 * @param bytes data of the events, separated by line feeds
 * @param lastEvent id of the last event, from which a later run can resume; empty if there is none
 * @param version software version of the targets that sent the events, at which a later run has to
 *     resume; null if unknown
 * @param service service of the targets that sent the events, at which a later run has to resume;
 *     null if it is the job's service at submission
 */
public record PartialOutput(
        byte[] bytes, String lastEvent, SoftwareVersion version, ServiceId service) {
    /** No output. */
    public static final PartialOutput NONE = new PartialOutput(new byte[0], "", null, null);

    /** Checks the components. */
    public PartialOutput {
        checkNotNull(bytes, "bytes are missing");
        checkNotNull(lastEvent, "lastEvent is missing");
    }
}
