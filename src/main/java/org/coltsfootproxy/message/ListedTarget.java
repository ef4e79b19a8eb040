package org.coltsfootproxy.message;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.base.SoftwareVersion;
import org.coltsfootproxy.base.TargetId;

/**
 * A target of the platform's target list.
 *
 * @param id id of one incarnation of the target; a later incarnation may reuse the address
 * @param address IP address and port
 * @param leaving whether the platform is about to remove the target, so that it gets no new work
 * @param slots number of requests that the target runs concurrently, at least 1
 * @param startedAt Unix time in milliseconds at which the target started, by the target's clock; 0
 *     if unknown. A target that starts again may keep its id but not this time.
 * @param version version of the target's software; a stream may go on only at the version that
 *     began it
 * @param coldMillis how long the target is cold, in milliseconds, as the list said when it first
 *     showed this cold period; unchanged while the time runs down; {@link #WARM} if the list says
 *     that the target is not cold, 0 if it does not say
 */
public record ListedTarget(
        TargetId id,
        ServiceId service,
        DataCentre dataCentre,
        String address,
        boolean leaving,
        int slots,
        long startedAt,
        SoftwareVersion version,
        long coldMillis) {
    /** Value of {@code coldMillis} of a target that is not cold. */
    public static final long WARM = -1;

    /** Checks the components. */
    public ListedTarget {
        checkNotNull(id, "target id is missing");
        checkNotNull(service, "service is missing");
        checkNotNull(dataCentre, "data centre is missing");
        checkNotNull(address, "address is missing");
        checkArgument(slots > 0, "slots %s is below 1", slots);
        // A host of an earlier version sends none.
        version = version == null ? SoftwareVersion.UNNAMED : version;
    }

    /**
     * Returns this entry with the cold period that an earlier entry shows, if that still runs. So
     * the list does not change each time it is read.
     */
    public ListedTarget continuing(ListedTarget earlier) {
        boolean isSamePeriod =
                earlier.startedAt == startedAt && coldMillis > 0 && coldMillis < earlier.coldMillis;
        return isSamePeriod
                ? new ListedTarget(
                        id,
                        service,
                        dataCentre,
                        address,
                        leaving,
                        slots,
                        startedAt,
                        version,
                        earlier.coldMillis)
                : this;
    }
}
