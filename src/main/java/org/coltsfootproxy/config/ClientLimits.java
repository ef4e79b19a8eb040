package org.coltsfootproxy.config;

/**
 * Limits for what a client may send, and how long it may take or stay idle. A limit of 0 is not
 * set.
 *
 * @param maxHeaderBytes maximum size of the request line, and also of all header fields together
 * @param maxBodyBytes maximum size of a body
 * @param headTimeoutMillis maximum time from a request's first byte to the end of its head
 * @param idleTimeoutMillis maximum time between a response and the next request
 */
public record ClientLimits(
        int maxHeaderBytes, int maxBodyBytes, long headTimeoutMillis, long idleTimeoutMillis) {
    /** No limits. */
    public static final ClientLimits NONE = new ClientLimits(0, 0, 0, 0);

    /** Returns for each limit the larger one, where 0 counts as the smallest. */
    ClientLimits or(ClientLimits other) {
        return new ClientLimits(
                Math.max(maxHeaderBytes, other.maxHeaderBytes),
                Math.max(maxBodyBytes, other.maxBodyBytes),
                Math.max(headTimeoutMillis, other.headTimeoutMillis),
                Math.max(idleTimeoutMillis, other.idleTimeoutMillis));
    }
}
