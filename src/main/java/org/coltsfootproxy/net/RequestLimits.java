package org.coltsfootproxy.net;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import org.coltsfootproxy.config.ClientLimits;

/**
 * Limits for the requests of one caller.
 *
 * @param maxHeaderBytes maximum size of the request line, and also of all header fields together
 * @param maxFields maximum number of header fields
 * @param maxBodyBytes maximum size of a body
 * @param headTimeout maximum time from a request's first byte to the end of its head
 * @param idleTimeout maximum time between a response and the next request
 */
record RequestLimits(
        int maxHeaderBytes,
        int maxFields,
        int maxBodyBytes,
        Duration headTimeout,
        Duration idleTimeout) {
    /** Time that the network may add to what a client takes. */
    private static final Duration TRANSIT_TIME = Duration.ofSeconds(1);

    /** Checks the components. */
    RequestLimits {
        checkArgument(maxHeaderBytes > 0, "maxHeaderBytes %s is not positive", maxHeaderBytes);
        checkArgument(maxFields > 0, "maxFields %s is not positive", maxFields);
        checkArgument(maxBodyBytes >= 0, "maxBodyBytes %s is negative", maxBodyBytes);
        checkNotNull(headTimeout, "headTimeout");
        checkNotNull(idleTimeout, "idleTimeout");
    }

    /** Returns these limits with those replaced that are configured. */
    RequestLimits with(ClientLimits configured) {
        int headerBytes = configured.maxHeaderBytes();
        int bodyBytes = configured.maxBodyBytes();
        long headMillis = configured.headTimeoutMillis();
        long idleMillis = configured.idleTimeoutMillis();
        return new RequestLimits(
                headerBytes > 0 ? headerBytes : maxHeaderBytes,
                headerBytes > 0 ? Math.max(1, headerBytes / 2) : maxFields,
                bodyBytes > 0 ? bodyBytes : maxBodyBytes,
                headMillis > 0 ? Duration.ofMillis(headMillis).plus(TRANSIT_TIME) : headTimeout,
                idleMillis > 0 ? Duration.ofMillis(idleMillis) : idleTimeout);
    }
}
