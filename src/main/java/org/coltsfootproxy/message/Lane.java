package org.coltsfootproxy.message;

/**
 * A class of messages that has its own connection between two peers.
 *
 * <p>The connections are separate so that bulk traffic can't delay online requests and control
 * messages.
 */
public enum Lane {
    /** Online requests and their answers. */
    ONLINE,
    /** Batch items, their results and job submissions. */
    BATCH,
    /** Configuration, elections, appends, leases and grants. */
    CONTROL
}
