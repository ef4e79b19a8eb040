package org.coltsfootproxy.limit;

import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.config.ConfigView;
import org.coltsfootproxy.message.LimitMessage;
import org.coltsfootproxy.node.Effects;

/**
 * Enforces, at one entry, the rate and burst that each organisation has over the whole fleet.
 *
 * <p>Single-threaded and deterministic. Times are nanoseconds of the host's monotonic clock.
 */
public interface Limiter {
    /** Receives the decisions on requests that waited. */
    @FunctionalInterface
    interface Listener {
        /** Called when a request that got {@link Decision#WAIT} is admitted or refused. */
        void decided(long call, Decision decision, long nowNanos, Effects out);
    }

    /**
     * Decides whether a request is admitted.
     *
     * @param call number of the request, unique among the waiting requests
     * @return the decision, or {@link Decision#WAIT} if the listener will receive it
     */
    Decision tryAcquire(OrganisationId organisation, long call, long nowNanos, Effects out);

    /** Removes a cancelled request from the waiting ones; the listener is not called for it. */
    void cancel(OrganisationId organisation, long call);

    /** Handles a message from another entry. */
    void handle(HostId from, LimitMessage message, long nowNanos, Effects out);

    /** Runs the work that is due. */
    void tick(long nowNanos, Effects out);

    /** Returns when {@link #tick} is next due, or {@link Long#MAX_VALUE}. */
    long nextTickNanos();

    /**
     * Applies a configuration.
     *
     * <p>Buckets at this entry are filled at their old rates up to now. Until the first call no
     * organisation is known and its requests are not admitted.
     */
    void configure(ConfigView view, long nowNanos);

    /** Returns all tokens to their owners; this entry accepts no new requests. */
    void stop(long nowNanos, Effects out);
}
