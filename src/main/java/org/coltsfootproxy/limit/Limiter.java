package org.coltsfootproxy.limit;

import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.config.ConfigView;
import org.coltsfootproxy.message.LimitMessage;
import org.coltsfootproxy.node.Effects;

/**
 * Keeps each organisation to its rate and burst over the whole fleet, at one entry.
 *
 * <p>Single-threaded and deterministic. Times are nanoseconds of the host's monotonic clock.
 */
public interface Limiter {
    /** Told the decisions on requests that waited. */
    @FunctionalInterface
    interface Listener {
        /** A request that was told {@link Decision#WAIT} passes or is refused. */
        void decided(long call, Decision decision, long nowNanos, Effects out);
    }

    /**
     * Decides whether a request may pass.
     *
     * @param call number of the request, unique among those that wait
     * @return the decision, or {@link Decision#WAIT} if the listener will be told
     */
    Decision tryAcquire(OrganisationId organisation, long call, long nowNanos, Effects out);

    /** Forgets a waiting request that nobody wants any more; its listener isn't called. */
    void cancel(OrganisationId organisation, long call);

    /** Handles a message of another entry. */
    void handle(HostId from, LimitMessage message, long nowNanos, Effects out);

    /** Does whatever is due. */
    void tick(long nowNanos, Effects out);

    /** Returns the time of the next due {@link #tick}, or {@link Long#MAX_VALUE}. */
    long nextTickNanos();

    /**
     * Takes a configuration into force.
     *
     * <p>Buckets kept here fill at their old rates up to now. Until the first call no organisation
     * is known and its requests wait.
     */
    void configure(ConfigView view, long nowNanos);

    /** Gives back all tokens, as this entry takes no new requests. */
    void stop(long nowNanos, Effects out);
}
