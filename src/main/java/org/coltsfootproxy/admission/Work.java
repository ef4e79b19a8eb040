package org.coltsfootproxy.admission;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.TrafficClass;

/**
 * One online request or batch item for the target.
 *
 * @param call number assigned by the agent; unique among waiting and running work
 * @param weight the organisation's weight relative to others, above 0
 * @param bytes memory held while it waits, at least 0
 * @param deadlineNanos time on the agent's clock from which it must not start
 */
public record Work(
        long call,
        TrafficClass trafficClass,
        OrganisationId organisation,
        double weight,
        long bytes,
        long deadlineNanos) {
    /** Validates the components. */
    public Work {
        checkNotNull(trafficClass, "traffic class");
        checkNotNull(organisation, "organisation");
        checkArgument(
                weight > 0 && weight < Double.POSITIVE_INFINITY,
                "weight %s must be positive and finite",
                weight);
        checkArgument(bytes >= 0, "bytes %s must not be negative", bytes);
    }

    /** Returns whether this is an online request, whose caller waits for the answer. */
    public boolean isOnline() {
        return trafficClass == TrafficClass.ONLINE;
    }
}
