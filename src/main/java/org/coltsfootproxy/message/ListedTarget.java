package org.coltsfootproxy.message;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.base.TargetId;

/**
 * A target as the platform lists it.
 *
 * @param id one life of a target; addresses are used again by other lives
 * @param address IP number and port
 * @param leaving whether the target is about to be taken away and gets no new work
 * @param slots requests that it runs at once, at least 1
 */
public record ListedTarget(
        TargetId id,
        ServiceId service,
        DataCentre dataCentre,
        String address,
        boolean leaving,
        int slots) {
    /** Checks the parts. */
    public ListedTarget {
        checkNotNull(id, "target id is missing");
        checkNotNull(service, "service is missing");
        checkNotNull(dataCentre, "data centre is missing");
        checkNotNull(address, "address is missing");
        checkArgument(slots > 0, "slots %s is below 1", slots);
    }
}
