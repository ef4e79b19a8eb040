package org.coltsfootproxy.config;

import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.HostId;

/**
 * A control host and its address.
 *
 * @param address IP address and port at which peers reach it
 */
public record ControlHost(HostId host, DataCentre dataCentre, String address) {
    /** Returns a control host with the given fields. */
    public static ControlHost of(HostId host, DataCentre dataCentre, String address) {
        return new ControlHost(host, dataCentre, address);
    }
}
