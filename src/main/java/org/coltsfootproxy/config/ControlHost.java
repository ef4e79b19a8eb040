package org.coltsfootproxy.config;

import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.HostId;

/**
 * A control host as settings name it.
 *
 * @param address IP number and port that peers reach it at
 */
public record ControlHost(HostId host, DataCentre dataCentre, String address) {
    /** Returns the host with the given parts. */
    public static ControlHost of(HostId host, DataCentre dataCentre, String address) {
        return new ControlHost(host, dataCentre, address);
    }
}
