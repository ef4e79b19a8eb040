package org.coltsfootproxy.node;

import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.HostId;

/**
 * One host as the platform's list shows it.
 *
 * @param address the host's IP number and port
 */
public record HostEntry(HostId host, DataCentre dataCentre, State state, String address) {
    /** What the platform says of a host. */
    public enum State {
        /** The host is in use. */
        LIVE,
        /** The host will be taken away; it must get no new work. */
        LEAVING
    }
}
