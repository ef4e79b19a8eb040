package org.coltsfootproxy.net;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Settings of an {@link HttpFront}.
 *
 * @param address address to listen on; port 0 selects a free port
 * @param maxBodyBytes maximum size of a request body
 * @param maxHeaderBytes maximum size of the request line, and also of all header fields together
 * @param maxHeaders maximum number of header fields of a request
 * @param maxConnections maximum number of open connections
 * @param headTimeout maximum time from a request's first byte to the end of its head
 * @param bodyTimeout maximum time from the end of a request's head to the end of its body
 * @param idleTimeout maximum time between a response and the next request
 * @param maxUnsentBytes maximum number of bytes of a response that are buffered for a slow caller
 * @param stallTimeout maximum time without progress while bytes of a response are unsent
 * @param threads number of event loops that serve the connections
 */
public record HttpFrontSettings(
        InetSocketAddress address,
        int maxBodyBytes,
        int maxHeaderBytes,
        int maxHeaders,
        int maxConnections,
        Duration headTimeout,
        Duration bodyTimeout,
        Duration idleTimeout,
        long maxUnsentBytes,
        Duration stallTimeout,
        int threads) {
    /** The default of {@link #maxBodyBytes}. */
    public static final int DEFAULT_MAX_BODY_BYTES = 1 << 20;

    private static final int DEFAULT_MAX_HEADER_BYTES = 16 << 10;

    /** As many fields as fit into the header bytes, since a field has a name and a colon. */
    private static final int DEFAULT_MAX_HEADERS = DEFAULT_MAX_HEADER_BYTES / 2;

    private static final int DEFAULT_MAX_CONNECTIONS = 10_000;
    private static final long DEFAULT_MAX_UNSENT_BYTES = 4L << 20;
    private static final int DEFAULT_THREADS = 2;

    /** Checks the ranges of the sizes and counts. */
    public HttpFrontSettings {
        checkNotNull(address, "address");
        checkArgument(maxBodyBytes >= 0, "maxBodyBytes %s is negative", maxBodyBytes);
        checkArgument(maxHeaderBytes > 0, "maxHeaderBytes %s is not positive", maxHeaderBytes);
        checkArgument(maxHeaders > 0, "maxHeaders %s is not positive", maxHeaders);
        checkArgument(maxConnections > 0, "maxConnections %s is not positive", maxConnections);
        checkArgument(maxUnsentBytes > 0, "maxUnsentBytes %s is not positive", maxUnsentBytes);
        checkArgument(threads > 0, "threads %s is not positive", threads);
    }

    /** Returns the default settings for an address. */
    public static HttpFrontSettings defaults(InetSocketAddress address) {
        return new HttpFrontSettings(
                address,
                DEFAULT_MAX_BODY_BYTES,
                DEFAULT_MAX_HEADER_BYTES,
                DEFAULT_MAX_HEADERS,
                DEFAULT_MAX_CONNECTIONS,
                Duration.ofSeconds(10),
                Duration.ofSeconds(30),
                Duration.ofSeconds(60),
                DEFAULT_MAX_UNSENT_BYTES,
                Duration.ofSeconds(20),
                DEFAULT_THREADS);
    }

    /** Returns these settings with another maximum body size. */
    public HttpFrontSettings withMaxBodyBytes(int bytes) {
        return new HttpFrontSettings(
                address,
                bytes,
                maxHeaderBytes,
                maxHeaders,
                maxConnections,
                headTimeout,
                bodyTimeout,
                idleTimeout,
                maxUnsentBytes,
                stallTimeout,
                threads);
    }

    /** Returns these settings with another maximum number of header fields. */
    public HttpFrontSettings withMaxHeaders(int number) {
        return new HttpFrontSettings(
                address,
                maxBodyBytes,
                maxHeaderBytes,
                number,
                maxConnections,
                headTimeout,
                bodyTimeout,
                idleTimeout,
                maxUnsentBytes,
                stallTimeout,
                threads);
    }

    /** Returns these settings with another maximum number of connections. */
    public HttpFrontSettings withMaxConnections(int number) {
        return withBounds(number, maxUnsentBytes, stallTimeout);
    }

    /** Returns the limits for requests that these settings contain. */
    RequestLimits requestLimits() {
        return new RequestLimits(
                maxHeaderBytes, maxHeaders, maxBodyBytes, headTimeout, idleTimeout);
    }

    /** Returns these settings with another number of threads. */
    public HttpFrontSettings withThreads(int number) {
        return new HttpFrontSettings(
                address,
                maxBodyBytes,
                maxHeaderBytes,
                maxHeaders,
                maxConnections,
                headTimeout,
                bodyTimeout,
                idleTimeout,
                maxUnsentBytes,
                stallTimeout,
                number);
    }

    /** Returns these settings with other timeouts for heads, bodies and idle connections. */
    public HttpFrontSettings withTimeouts(Duration head, Duration body, Duration idle) {
        return new HttpFrontSettings(
                address,
                maxBodyBytes,
                maxHeaderBytes,
                maxHeaders,
                maxConnections,
                head,
                body,
                idle,
                maxUnsentBytes,
                stallTimeout,
                threads);
    }

    /** Returns these settings with other limits on open connections and unread responses. */
    public HttpFrontSettings withBounds(int connections, long unsentBytes, Duration stall) {
        return new HttpFrontSettings(
                address,
                maxBodyBytes,
                maxHeaderBytes,
                maxHeaders,
                connections,
                headTimeout,
                bodyTimeout,
                idleTimeout,
                unsentBytes,
                stall,
                threads);
    }
}
