package org.coltsfootproxy.message;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * One item of a batch job.
 *
 * @param id the caller's name for the item, or empty
 * @param body body of the call
 */
public record JobItem(String id, byte[] body) {
    /** Checks the parts. */
    public JobItem {
        checkNotNull(id, "item id is missing");
        checkNotNull(body, "item body is missing");
    }

    /** Returns the item with the given parts. */
    public static JobItem of(String id, byte[] body) {
        return new JobItem(id, body);
    }
}
