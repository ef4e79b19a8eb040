package org.coltsfootproxy.routing;

import static com.google.common.base.Preconditions.checkNotNull;

import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;

/**
 * What an agent last told of itself; a hint that ages.
 *
 * @param draining whether the agent takes no new requests
 * @param inFlight requests at the target
 * @param queued requests that wait
 * @param limit requests that the target takes at a time
 */
public record AgentReport(
        HostId agent,
        Incarnation incarnation,
        boolean draining,
        int inFlight,
        int queued,
        int limit) {
    /** Checks the parts. */
    public AgentReport {
        checkNotNull(agent, "agent");
        checkNotNull(incarnation, "incarnation");
    }
}
