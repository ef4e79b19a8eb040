package org.coltsfootproxy.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.KeyId;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.base.RouteId;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.base.TargetId;

/** Parses change tickets written in YAML. */
public final class TicketParser {
    /** Maximum size of a ticket, in bytes. */
    public static final int MAX_BYTES = 1024 * 1024;

    /** The idempotent methods of HTTP, which are the default for {@code repeatableMethods}. */
    private static final Set<String> IDEMPOTENT_METHODS =
            Set.of("GET", "HEAD", "OPTIONS", "PUT", "DELETE");

    private static final long DEFAULT_TIMEOUT_MILLIS = 30_000;

    private TicketParser() {}

    /**
     * Parses YAML text in UTF-8 and validates the ticket with {@link TicketCheck}.
     *
     * @throws ProxyException of kind {@link ErrorKind#INVALID_TICKET} with the path of the invalid
     *     value
     */
    public static Ticket parse(byte[] yaml) throws ProxyException {
        if (yaml.length > MAX_BYTES) {
            String detail =
                    "the ticket has "
                            + yaml.length
                            + " bytes, more than the maximum of "
                            + MAX_BYTES;
            throw ProxyException.of(ErrorKind.INVALID_TICKET, detail);
        }
        Ticket ticket = ticket(YamlNode.parse(yaml, "ticket", ErrorKind.INVALID_TICKET));
        TicketCheck.check(ticket);
        return ticket;
    }

    private static Ticket ticket(YamlNode node) throws ProxyException {
        long number = node.get("ticket").longValue();
        Ticket ticket =
                new Ticket(
                        number,
                        node.list("organisations", TicketParser::organisation),
                        node.list("keys", TicketParser::key),
                        node.list("services", TicketParser::service),
                        node.list("routes", TicketParser::route),
                        node.get("remove", TicketParser::removals, List.of()));
        node.rejectUnknownNames();
        return ticket;
    }

    private static Organisation organisation(YamlNode node) throws ProxyException {
        var organisation =
                new Organisation(
                        node.get("id").id(OrganisationId::of),
                        node.get("ratePerSecond").number(),
                        node.get("burst").number(),
                        node.get("weight", YamlNode::number, 1.0));
        node.rejectUnknownNames();
        return organisation;
    }

    private static Key key(YamlNode node) throws ProxyException {
        var key =
                new Key(
                        node.get("id").id(KeyId::of),
                        node.get("organisation").id(OrganisationId::of),
                        node.get("digest").text().toLowerCase(java.util.Locale.ROOT));
        node.rejectUnknownNames();
        return key;
    }

    private static Service service(YamlNode node) throws ProxyException {
        var service =
                new Service(
                        node.get("id").id(ServiceId::of),
                        node.get("streaming", YamlNode::flag, false),
                        node.get("concurrency").intValue(),
                        node.list("targets", TicketParser::target),
                        node.get("targetsFence", YamlNode::flag, false),
                        node.get("affinityBytes", YamlNode::intValue, 0),
                        null,
                        node.get("memoryTokens", YamlNode::intValue, 0),
                        null);
        node.rejectUnknownNames();
        return service;
    }

    private static Service.ServiceTarget target(YamlNode node) throws ProxyException {
        var target =
                new Service.ServiceTarget(
                        node.get("id").id(TargetId::of),
                        node.get("dataCentre").id(DataCentre::of),
                        node.get("agent").id(HostId::of),
                        node.get("address").text());
        node.rejectUnknownNames();
        return target;
    }

    private static Route route(YamlNode node) throws ProxyException {
        var organisations = node.list("organisations", n -> n.id(OrganisationId::of));
        var methods = node.get("repeatableMethods", n -> methods(node), IDEMPOTENT_METHODS);
        var route =
                Route.of(
                        node.get("id").id(RouteId::of),
                        node.get("pathPrefix").text(),
                        node.get("service").id(ServiceId::of),
                        node.get("open", YamlNode::flag, false),
                        new HashSet<>(organisations),
                        methods,
                        node.get("timeoutMillis", YamlNode::longValue, DEFAULT_TIMEOUT_MILLIS));
        node.rejectUnknownNames();
        return route;
    }

    private static Set<String> methods(YamlNode route) throws ProxyException {
        return new HashSet<>(route.list("repeatableMethods", YamlNode::text));
    }

    private static List<ObjectName> removals(YamlNode node) throws ProxyException {
        List<ObjectName> names = new ArrayList<>();
        for (ObjectKind kind : ObjectKind.values()) {
            if (kind.isSetByTickets()) {
                names.addAll(node.list(kind.plural(), n -> n.id(id -> removal(kind, id))));
            }
        }
        node.rejectUnknownNames();
        return names;
    }

    private static ObjectName removal(ObjectKind kind, String id) {
        return ObjectName.of(kind, org.coltsfootproxy.base.Names.check(id, kind.label() + " id"));
    }
}
