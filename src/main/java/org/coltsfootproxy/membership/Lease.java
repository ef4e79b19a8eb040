package org.coltsfootproxy.membership;

import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;

/**
 * A lease that was granted and not ended.
 *
 * @param name what it is for
 * @param incarnation the holder's life; another life of the host doesn't hold it
 * @param fencing number of the grant; grows with each grant of any lease
 * @param durationMillis how long it holds without renewal, in milliseconds
 */
public record Lease(
        String name, HostId host, Incarnation incarnation, long fencing, long durationMillis) {
    boolean isHeldBy(HostId otherHost, Incarnation otherIncarnation) {
        return host.equals(otherHost) && incarnation.equals(otherIncarnation);
    }
}
