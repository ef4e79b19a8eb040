package org.coltsfootproxy.membership;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.config.TicketCheck;
import org.coltsfootproxy.config.YamlNode;
import org.coltsfootproxy.node.HostEntry;

/**
 * The content of the platform's host list at one version.
 *
 * @param version number that grows with each change of the list, or 0 if the platform provides none
 */
public record HostListing(long version, List<HostEntry> hosts) {
    /** Copies the list. */
    public HostListing {
        hosts = List.copyOf(hosts);
    }

    /**
     * Parses a listing in YAML or JSON with the fields {@code version} and {@code hosts}. Each host
     * has the fields {@code host}, {@code dataCentre}, {@code state} (live or leaving) and {@code
     * address}.
     *
     * @throws ProxyException of kind {@link ErrorKind#MALFORMED_REQUEST}, naming the invalid field
     */
    public static HostListing parse(byte[] text) throws ProxyException {
        YamlNode root = YamlNode.parse(text, "host list", ErrorKind.MALFORMED_REQUEST);
        long version = root.get("version", YamlNode::longValue, 0L);
        List<HostEntry> hosts = root.list("hosts", HostListing::entry);
        Set<HostId> seen = new HashSet<>();
        for (HostEntry entry : hosts) {
            if (!seen.add(entry.host())) {
                throw root.error("names host '" + entry.host() + "' twice");
            }
        }
        return new HostListing(version, hosts);
    }

    private static HostEntry entry(YamlNode node) throws ProxyException {
        HostId host = node.get("host").id(HostId::of);
        DataCentre dataCentre = node.get("dataCentre").id(DataCentre::of);
        HostEntry.State state = state(node.get("state"));
        String address = node.get("address").text();
        if (!TicketCheck.isAddress(address)) {
            throw node.error("address '" + address + "' is not an IP address with a port");
        }
        return new HostEntry(host, dataCentre, state, address);
    }

    private static HostEntry.State state(YamlNode node) throws ProxyException {
        String text = node.text().toLowerCase(Locale.ROOT);
        return switch (text) {
            case "live" -> HostEntry.State.LIVE;
            case "leaving" -> HostEntry.State.LEAVING;
            default -> throw node.error("'" + text + "' is neither live nor leaving");
        };
    }
}
