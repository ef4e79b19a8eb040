package org.coltsfootproxy.membership;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Collection;
import java.util.List;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.config.ControlHost;

/** Addresses in a fleet whose hosts are named by their IP numbers and share one port for peers. */
public record PeerAddresses(int port) {
    /** Stands for the data centre of a host of which only the name is known. */
    private static final DataCentre UNKNOWN = DataCentre.of("unknown");

    /** Checks the port. */
    public PeerAddresses {
        checkArgument(port > 0 && port < 1 << 16, "port %s", port);
    }

    /** Returns the address at which a host listens for its peers. */
    public String of(HostId host) {
        return host + ":" + port;
    }

    /** Returns control hosts with their addresses. */
    public List<ControlHost> controlHosts(Collection<HostId> hosts) {
        return hosts.stream().map(host -> ControlHost.of(host, UNKNOWN, of(host))).toList();
    }
}
