package org.coltsfootproxy.message;

import static com.google.common.base.Preconditions.checkNotNull;

/**
 * One item of a batch job.
 *
 * @param id id that the caller gave the item, empty if it gave none
 * @param body request body of the item's call
 */
public record JobItem(String id, byte[] body) {
    /** Checks that no component is null. */
    public JobItem {
        checkNotNull(id, "item id is missing");
        checkNotNull(body, "item body is missing");
    }

    /** Returns an item with the given id and body. */
    public static JobItem of(String id, byte[] body) {
        return new JobItem(id, body);
    }
}
