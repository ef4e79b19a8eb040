package org.coltsfootproxy.message;

import org.coltsfootproxy.base.ServiceId;

/**
 * An item that an agent holds a lease of.
 *
 * @param repeatable whether it may run without a durable start
 * @param timeoutMillis longest time for the call
 * @param dueMillis time from the grant of the lease until the job is due; below 0 if it was due
 * @param made output that earlier runs have made
 */
public record LeasedItem(
        LeaseRef lease,
        String organisation,
        ServiceId service,
        boolean repeatable,
        String method,
        String path,
        long timeoutMillis,
        long dueMillis,
        PartialOutput made,
        byte[] body) {}
