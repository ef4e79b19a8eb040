package org.coltsfootproxy.membership;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Collection;
import java.util.List;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.config.ControlHost;

/**
 * Peer addresses in a fleet whose host ids are IP addresses and whose hosts share one peer port.
 */
public record PeerAddresses(int port) {
    /** Placeholder for the data centre of a host of which only the id is known. */
    private static final DataCentre UNKNOWN = DataCentre.of("unknown");

    /** Validates the port. */
    public PeerAddresses {
        checkArgument(port > 0 && port < 1 << 16, "port %s is not between 1 and 65535", port);
    }

    /** Returns the address at which a host listens for its peers. */
    public String of(HostId host) {
        return host + ":" + port;
    }

    /** Returns the given control hosts with their peer addresses. */
    public List<ControlHost> controlHosts(Collection<HostId> hosts) {
        return hosts.stream().map(host -> ControlHost.of(host, UNKNOWN, of(host))).toList();
    }
}
