package org.coltsfootproxy.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.KeyId;
import org.coltsfootproxy.base.Names;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.base.RouteId;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.config.Key;
import org.coltsfootproxy.config.KeyDigest;
import org.coltsfootproxy.config.Organisation;
import org.coltsfootproxy.config.RequestKind;
import org.coltsfootproxy.config.Route;
import org.coltsfootproxy.config.RoutePolicy;
import org.coltsfootproxy.config.Service;
import org.coltsfootproxy.config.Ticket;

/** The platform's document that holds a whole configuration. */
final class PlatformConfig {
    private static final ErrorKind KIND = ErrorKind.INVALID_TICKET;

    /** Length of the part of a key's digest that names the key. */
    private static final int KEY_NAME_LENGTH = 32;

    private PlatformConfig() {}

    /**
     * Returns the ticket that a document stands for.
     *
     * @throws ProxyException of kind {@link ErrorKind#INVALID_TICKET} if the document is not valid
     */
    static Ticket read(byte[] document) throws ProxyException {
        JsonNode root = Json.object(document, KIND);
        JsonNode version = root.path("version");
        if (!version.isIntegralNumber() || version.longValue() < 1) {
            throw invalid("'version' is not a number from 1");
        }
        List<Service> services = new ArrayList<>();
        for (JsonNode node : Json.list(root, "services", KIND)) {
            services.add(service(node));
        }
        List<Route> routes = new ArrayList<>();
        for (JsonNode node : Json.list(root, "routes", KIND)) {
            routes.add(route(node));
        }
        checkRoutes(routes, services);
        List<Organisation> organisations = new ArrayList<>();
        Map<String, Key> keys = new HashMap<>();
        for (JsonNode node : root.path("tenants")) {
            Organisation organisation = organisation(node);
            organisations.add(organisation);
            addKeys(node, organisation, keys);
        }
        return new Ticket(
                version.longValue(),
                organisations,
                List.copyOf(keys.values()),
                services,
                routes,
                List.of());
    }

    private static ProxyException invalid(String detail) {
        return ProxyException.of(KIND, detail);
    }

    private static String name(JsonNode node, String field) throws ProxyException {
        String name = Json.text(node, field, KIND);
        if (!Names.isValid(name)) {
            throw invalid("'" + field + "' is not a valid name: " + name);
        }
        return name;
    }

    private static Service service(JsonNode node) throws ProxyException {
        int slots = (int) Json.number(node.path("engine"), "slots", KIND);
        return Service.of(ServiceId.of(name(node, "name")), false, Math.max(1, slots), List.of());
    }

    private static Route route(JsonNode node) throws ProxyException {
        List<RoutePolicy.Share> split = split(node);
        ServiceId service =
                split.isEmpty() ? ServiceId.of(name(node, "service")) : split.get(0).service();
        long timeout = millis(node, "timeout_ms");
        if (timeout < 1) {
            throw invalid("'timeout_ms' of route " + name(node, "name") + " is not above 0");
        }
        return new Route(
                RouteId.of(name(node, "name")),
                Json.text(node, "host", KIND),
                Json.text(node, "path_prefix", KIND),
                service,
                node.path("no_auth").asBoolean(false),
                Set.of(),
                Set.of(),
                timeout,
                policy(node, split));
    }

    private static RoutePolicy policy(JsonNode node, List<RoutePolicy.Share> split)
            throws ProxyException {
        return new RoutePolicy(
                kind(node.path("kind").asText()),
                split,
                node.path("resumable").asBoolean(false),
                Math.max(1, (int) Json.number(node, "max_attempts", KIND)),
                millis(node, "goal_ms"),
                millis(node, "gap_aim_ms"),
                millis(node, "run_target_ms"));
    }

    private static long millis(JsonNode node, String field) throws ProxyException {
        return Math.max(0, (long) Json.number(node, field, KIND));
    }

    /** A kind that isn't known is taken for one whose requests run at most once. */
    private static RequestKind kind(String name) {
        return switch (name) {
            case "idempotent" -> RequestKind.REPEATABLE;
            case "streaming" -> RequestKind.STREAM;
            case "batch" -> RequestKind.BATCH;
            default -> RequestKind.ONCE;
        };
    }

    private static List<RoutePolicy.Share> split(JsonNode route) throws ProxyException {
        List<RoutePolicy.Share> split = new ArrayList<>();
        for (JsonNode node : route.path("split")) {
            int weight = (int) Json.number(node, "weight", KIND);
            if (weight < 0) {
                throw invalid("a weight of route " + name(route, "name") + " is below 0");
            }
            split.add(new RoutePolicy.Share(ServiceId.of(name(node, "service")), weight));
        }
        if (!split.isEmpty() && split.stream().allMatch(share -> share.weight() == 0)) {
            throw invalid("all weights of route " + name(route, "name") + " are 0");
        }
        return split;
    }

    private static void checkRoutes(List<Route> routes, List<Service> services)
            throws ProxyException {
        Set<ServiceId> known = services.stream().map(Service::id).collect(Collectors.toSet());
        Set<String> places = new HashSet<>();
        for (Route route : routes) {
            if (!route.services().allMatch(known::contains)) {
                throw invalid("route " + route.id() + " names an unknown service");
            }
            if (!places.add(route.hostName() + " " + route.pathPrefix())) {
                throw invalid("route " + route.id() + " has host and prefix of another route");
            }
        }
    }

    /** The rate is in requests a second; where none is given, there is no limit. */
    private static Organisation organisation(JsonNode node) throws ProxyException {
        double rate = Math.max(0, Json.number(node, "rate_per_s", KIND));
        double burst = Math.max(1, Json.number(node, "burst", KIND));
        return new Organisation(OrganisationId.of(name(node, "name")), rate, burst, 1);
    }

    private static void addKeys(JsonNode node, Organisation organisation, Map<String, Key> keys)
            throws ProxyException {
        for (JsonNode value : node.path("api_keys")) {
            if (!value.isTextual()) {
                throw invalid("a key of tenant " + organisation.id() + " is not a text");
            }
            String digest = KeyDigest.of(value.textValue());
            KeyId id = KeyId.of(digest.substring(0, KEY_NAME_LENGTH));
            Key other = keys.put(digest, new Key(id, organisation.id(), digest));
            if (other != null && !other.organisation().equals(organisation.id())) {
                throw invalid(other.organisation() + " and " + organisation.id() + " share a key");
            }
        }
    }
}
