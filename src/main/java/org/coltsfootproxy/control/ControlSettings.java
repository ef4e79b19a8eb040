package org.coltsfootproxy.control;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.List;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.config.ConfigTiming;
import org.coltsfootproxy.config.ControlHost;

/**
 * Settings of a control host.
 *
 * @param incarnation drawn when the data folder was made
 * @param hosts all control hosts, this one among them
 * @param operatorKeyDigest SHA-256 of the operators' key in hexadecimal
 */
public record ControlSettings(
        HostId self,
        DataCentre dataCentre,
        Incarnation incarnation,
        List<ControlHost> hosts,
        ConfigTiming timing,
        String operatorKeyDigest) {
    /** Checks that this host is among the control hosts. */
    public ControlSettings {
        checkNotNull(self, "host id is missing");
        checkNotNull(operatorKeyDigest, "operatorKeyDigest is missing");
        hosts = List.copyOf(hosts);
        checkArgument(
                hosts.stream().anyMatch(h -> h.host().equals(self)),
                "%s is not among the control hosts",
                self);
    }
}
