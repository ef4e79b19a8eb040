package org.coltsfootproxy.routing;

import static com.google.common.base.Preconditions.checkNotNull;

import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;

/**
 * An agent's last report of its own load; a hint that loses weight as it ages.
 *
 * @param draining whether the agent accepts no new requests
 * @param inFlight number of requests in flight at the target
 * @param queued number of requests waiting at the agent
 * @param limit the agent's concurrency limit for its target
 */
public record AgentReport(
        HostId agent,
        Incarnation incarnation,
        boolean draining,
        int inFlight,
        int queued,
        int limit) {
    /** Validates the components. */
    public AgentReport {
        checkNotNull(agent, "agent");
        checkNotNull(incarnation, "incarnation");
    }
}
