package org.coltsfootproxy.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.config.PlacedNode;
import org.coltsfootproxy.config.TicketCheck;
import org.coltsfootproxy.node.HostEntry;

/**
 * One reading of the platform's list of hosts.
 *
 * @param version number that grows with each change of the list, or 0 if the platform gives none
 */
public record HostListing(long version, List<HostEntry> hosts) {
    /** Copies the list. */
    public HostListing {
        hosts = List.copyOf(hosts);
    }

    /**
     * Returns the listing that a YAML or JSON text describes: {@code version} and {@code hosts},
     * each with {@code host}, {@code dataCentre}, {@code state} (live or leaving) and {@code
     * address}.
     *
     * @throws ProxyException of kind {@link ErrorKind#MALFORMED_REQUEST}, naming the place
     */
    public static HostListing parse(byte[] text) throws ProxyException {
        PlacedNode root = PlacedNode.parse(text, "host list", ErrorKind.MALFORMED_REQUEST);
        long version = root.get("version", PlacedNode::whole, 0L);
        List<HostEntry> hosts = root.list("hosts", HostListing::entry);
        Set<HostId> seen = new HashSet<>();
        for (HostEntry entry : hosts) {
            if (!seen.add(entry.host())) {
                throw root.fault("names host '" + entry.host() + "' twice");
            }
        }
        return new HostListing(version, hosts);
    }

    private static HostEntry entry(PlacedNode node) throws ProxyException {
        HostId host = node.get("host").id(HostId::of);
        DataCentre centre = node.get("dataCentre").id(DataCentre::of);
        HostEntry.State state = state(node.get("state"));
        String address = node.get("address").text();
        if (!TicketCheck.isAddress(address)) {
            throw node.fault("address '" + address + "' is no IP number with port");
        }
        return new HostEntry(host, centre, state, address);
    }

    private static HostEntry.State state(PlacedNode node) throws ProxyException {
        String text = node.text().toLowerCase(Locale.ROOT);
        return switch (text) {
            case "live" -> HostEntry.State.LIVE;
            case "leaving" -> HostEntry.State.LEAVING;
            default -> throw node.fault("'" + text + "' is neither live nor leaving");
        };
    }
}
