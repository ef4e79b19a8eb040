package org.coltsfootproxy.message;

import org.coltsfootproxy.base.ServiceId;

/**
 * An item that an agent holds a lease of.
 *
 * @param repeatable whether it may run without a durable start
 * @param timeoutMillis longest time for the call
 */
public record LeasedItem(
        LeaseRef lease,
        String organisation,
        ServiceId service,
        boolean repeatable,
        String method,
        String path,
        long timeoutMillis,
        byte[] body) {}
