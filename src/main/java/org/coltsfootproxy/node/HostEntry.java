package org.coltsfootproxy.node;

import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.HostId;

/**
 * One host of the platform's host list.
 *
 * @param address IP address and port, as {@code 10.1.2.3:7000}
 */
public record HostEntry(HostId host, DataCentre dataCentre, State state, String address) {
    /** State of a host according to the platform. */
    public enum State {
        /** The host is in use. */
        LIVE,
        /** The platform is about to remove the host; it must get no new work. */
        LEAVING
    }
}
