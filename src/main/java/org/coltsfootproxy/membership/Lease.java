package org.coltsfootproxy.membership;

import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;

/**
 * A lease that has been granted and not ended; it may have expired.
 *
 * @param name name of the leased resource
 * @param incarnation incarnation of the holding host; a later incarnation doesn't hold the lease
 * @param fencing fencing number, which grows with each grant of any lease
 * @param durationMillis validity without renewal, in milliseconds
 */
public record Lease(
        String name, HostId host, Incarnation incarnation, long fencing, long durationMillis) {
    boolean isHeldBy(HostId otherHost, Incarnation otherIncarnation) {
        return host.equals(otherHost) && incarnation.equals(otherIncarnation);
    }
}
