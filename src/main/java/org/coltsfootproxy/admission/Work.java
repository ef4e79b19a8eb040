package org.coltsfootproxy.admission;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.TrafficClass;

/**
 * One request or batch item that wants the target.
 *
 * @param call number that the agent gave it; unique among those waiting and running
 * @param weight the organisation's share relative to others, above 0
 * @param bytes memory that it holds while it waits, at least 0
 * @param deadlineNanos time after which it must not start any more, on the agent's clock
 */
public record Work(
        long call,
        TrafficClass trafficClass,
        OrganisationId organisation,
        double weight,
        long bytes,
        long deadlineNanos) {
    /** Checks the parts. */
    public Work {
        checkNotNull(trafficClass, "traffic class");
        checkNotNull(organisation, "organisation");
        checkArgument(weight > 0 && weight < Double.POSITIVE_INFINITY, "weight %s", weight);
        checkArgument(bytes >= 0, "bytes %s", bytes);
    }

    /** Tells whether somebody waits for the answer now. */
    public boolean isOnline() {
        return trafficClass == TrafficClass.ONLINE;
    }
}
