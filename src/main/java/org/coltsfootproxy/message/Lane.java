package org.coltsfootproxy.message;

/**
 * The connection between two peers that a message takes.
 *
 * <p>Each lane has a connection of its own, so that bulk traffic can't hold up what people wait
 * for.
 */
public enum Lane {
    /** Online requests and their answers. */
    ONLINE,
    /** Batch items, their results and job submissions. */
    BATCH,
    /** Configuration, elections, appends, leases and grants. */
    CONTROL
}
