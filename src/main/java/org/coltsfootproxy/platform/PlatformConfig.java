package org.coltsfootproxy.platform;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.Set;
import java.util.stream.Collectors;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.KeyId;
import org.coltsfootproxy.base.Names;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.base.Region;
import org.coltsfootproxy.base.RouteId;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.config.ClientLimits;
import org.coltsfootproxy.config.Key;
import org.coltsfootproxy.config.KeyDigest;
import org.coltsfootproxy.config.Organisation;
import org.coltsfootproxy.config.RequestKind;
import org.coltsfootproxy.config.Route;
import org.coltsfootproxy.config.RoutePolicy;
import org.coltsfootproxy.config.Service;
import org.coltsfootproxy.config.Ticket;

/** Reads the platform's configuration document, which always holds a complete configuration. */
final class PlatformConfig {
    private static final ErrorKind ERROR_KIND = ErrorKind.INVALID_TICKET;

    private static final double MILLIS_PER_SECOND = 1_000;

    /** Number of leading characters of a key's digest that form the key's id. */
    private static final int KEY_ID_LENGTH = 32;

    private PlatformConfig() {}

    /**
     * Converts a document to the equivalent change ticket.
     *
     * <p>In the document, {@code tenants} are organisations, {@code rate_per_s} is their rate limit
     * in requests per second, {@code engine.slots} the number of requests that a target runs at
     * once, {@code engine.kv_capacity_tokens} the tokens that its memory holds, {@code goal_ms} the
     * time goal for the response or its first event, {@code gap_aim_ms} the longest expected pause
     * between events, {@code run_target_ms} the time within which a batch job is due, and {@code
     * max_attempts} the most targets that a request may be sent to. A service with {@code
     * cold_per_s} names how many requests a second its cold targets take. {@code priority} is the
     * rank of a route's or a tenant's requests, 0 is the most urgent.
     *
     * @throws ProxyException of kind {@link ErrorKind#INVALID_TICKET} if the document is not valid
     */
    static Ticket read(byte[] document) throws ProxyException {
        JsonNode root = Json.object(document, ERROR_KIND);
        JsonNode version = root.path("version");
        if (!version.isIntegralNumber() || version.longValue() < 1) {
            throw invalid("'version' must be an integer of at least 1");
        }
        ClientLimits limits = clientLimits(root.path("limits"));
        List<Service> services = new ArrayList<>();
        for (JsonNode node : Json.list(root, "services", ERROR_KIND)) {
            services.add(
                    limits.equals(ClientLimits.NONE)
                            ? service(node)
                            : service(node).withClientLimits(limits));
        }
        List<Route> routes = new ArrayList<>();
        for (JsonNode node : Json.list(root, "routes", ERROR_KIND)) {
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

    /**
     * Reads the limits for clients: {@code max_header_bytes}, {@code max_body_bytes}, {@code
     * header_timeout_ms} and {@code idle_timeout_ms}. One that is missing, or not above 0, is not
     * set.
     */
    private static ClientLimits clientLimits(JsonNode node) {
        return new ClientLimits(
                limit(node, "max_header_bytes"),
                limit(node, "max_body_bytes"),
                limit(node, "header_timeout_ms"),
                limit(node, "idle_timeout_ms"));
    }

    private static int limit(JsonNode limits, String field) {
        double number = limits.path(field).asDouble(0);
        return (int) Math.max(0, Math.min(number, Integer.MAX_VALUE));
    }

    private static ProxyException invalid(String detail) {
        return ProxyException.of(ERROR_KIND, detail);
    }

    private static String name(JsonNode node, String field) throws ProxyException {
        String name = Json.text(node, field, ERROR_KIND);
        if (!Names.isValid(name)) {
            throw invalid("'" + field + "' is not a valid name: " + name);
        }
        return name;
    }

    private static Service service(JsonNode node) throws ProxyException {
        int slots = (int) Json.number(node.path("engine"), "slots", ERROR_KIND);
        double memory = Json.number(node.path("engine"), "kv_capacity_tokens", ERROR_KIND);
        Service service =
                Service.of(ServiceId.of(name(node, "name")), false, Math.max(1, slots), List.of())
                        .withMemoryTokens((int) Math.max(0, memory));
        return coldStart(node).map(service::withColdStart).orElse(service);
    }

    /**
     * Reads how many calls a second a cold target takes, {@code cold_per_s}, and how long a target
     * is cold after a start, {@code cold_start_s}. As with other rates, 0 means no limit.
     */
    private static Optional<Service.ColdStart> coldStart(JsonNode node) throws ProxyException {
        double perSecond = Json.number(node, "cold_per_s", ERROR_KIND);
        double seconds = Json.number(node, "cold_start_s", ERROR_KIND);
        boolean isValid = perSecond >= 0 && seconds >= 0 && Double.isFinite(perSecond + seconds);
        if (!isValid) {
            throw invalid(
                    "'cold_per_s' or 'cold_start_s' of " + name(node, "name") + " is below 0");
        }
        long millis = (long) Math.ceil(MILLIS_PER_SECOND * seconds);
        return perSecond > 0
                ? Optional.of(new Service.ColdStart(millis, perSecond))
                : Optional.empty();
    }

    private static Route route(JsonNode node) throws ProxyException {
        List<RoutePolicy.Share> split = split(node);
        ServiceId service =
                split.isEmpty() ? ServiceId.of(name(node, "service")) : split.get(0).service();
        long timeoutMillis = millis(node, "timeout_ms");
        if (timeoutMillis < 1) {
            throw invalid("'timeout_ms' of route " + name(node, "name") + " must be at least 1");
        }
        return new Route(
                RouteId.of(name(node, "name")),
                Json.text(node, "host", ERROR_KIND),
                Json.text(node, "path_prefix", ERROR_KIND),
                service,
                node.path("no_auth").asBoolean(false),
                Set.of(),
                Set.of(),
                timeoutMillis,
                policy(node, split),
                allowedRegions(node),
                rank(node).orElse(0));
    }

    private static RoutePolicy policy(JsonNode node, List<RoutePolicy.Share> split)
            throws ProxyException {
        return new RoutePolicy(
                kind(node.path("kind").asText()),
                split,
                node.path("resumable").asBoolean(false),
                Math.max(1, (int) Json.number(node, "max_attempts", ERROR_KIND)),
                millis(node, "goal_ms"),
                millis(node, "gap_aim_ms"),
                millis(node, "run_target_ms"));
    }

    /**
     * Reads {@code allowed_regions}, a list of regions' names; no list, and an empty one, restrict
     * nothing.
     */
    private static Set<Region> allowedRegions(JsonNode node) throws ProxyException {
        JsonNode list = node.path("allowed_regions");
        if (list.isMissingNode() || list.isNull()) {
            return Set.of();
        }
        if (!list.isArray()) {
            throw invalid("'allowed_regions' must be a list, but is " + list);
        }
        Set<Region> regions = new HashSet<>();
        for (JsonNode name : list) {
            if (!name.isTextual()) {
                throw invalid("'allowed_regions' must hold names, but holds " + name);
            }
            regions.add(Region.of(name.textValue()));
        }
        return regions;
    }

    /** Returns the {@code priority} of a route or tenant; empty if it names none. */
    private static OptionalInt rank(JsonNode node) throws ProxyException {
        JsonNode priority = node.path("priority");
        if (priority.isMissingNode() || priority.isNull()) {
            return OptionalInt.empty();
        }
        if (!priority.isIntegralNumber() || !priority.canConvertToInt() || priority.asInt() < 0) {
            throw invalid(
                    "'priority' of " + name(node, "name") + " must be an integer of at least 0");
        }
        return OptionalInt.of(priority.asInt());
    }

    private static long millis(JsonNode node, String field) throws ProxyException {
        return Math.max(0, (long) Json.number(node, field, ERROR_KIND));
    }

    /** Returns the request kind; requests of an unknown kind run at most once. */
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
            int weight = (int) Json.number(node, "weight", ERROR_KIND);
            if (weight < 0) {
                throw invalid("a weight of route " + name(route, "name") + " is negative");
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
        Set<ServiceId> knownServices =
                services.stream().map(Service::id).collect(Collectors.toSet());
        Set<String> hostsAndPrefixes = new HashSet<>();
        for (Route route : routes) {
            if (!route.services().allMatch(knownServices::contains)) {
                throw invalid("route " + route.id() + " refers to an unknown service");
            }
            if (!hostsAndPrefixes.add(route.hostName() + " " + route.pathPrefix())) {
                throw invalid(
                        "route "
                                + route.id()
                                + " has the same host and path prefix as another route");
            }
        }
    }

    /** Reads an organisation; without {@code rate_per_s} its rate is not limited. */
    private static Organisation organisation(JsonNode node) throws ProxyException {
        double ratePerSecond = Math.max(0, Json.number(node, "rate_per_s", ERROR_KIND));
        double burst = Math.max(1, Json.number(node, "burst", ERROR_KIND));
        OptionalInt rank = rank(node);
        return new Organisation(
                OrganisationId.of(name(node, "name")),
                ratePerSecond,
                burst,
                1,
                allowedRegions(node),
                rank.isPresent() ? rank.getAsInt() : null);
    }

    private static void addKeys(JsonNode node, Organisation organisation, Map<String, Key> keys)
            throws ProxyException {
        for (JsonNode value : node.path("api_keys")) {
            if (!value.isTextual()) {
                throw invalid("an API key of tenant " + organisation.id() + " is not a string");
            }
            String digest = KeyDigest.of(value.textValue());
            KeyId id = KeyId.of(digest.substring(0, KEY_ID_LENGTH));
            Key other = keys.put(digest, new Key(id, organisation.id(), digest));
            if (other != null && !other.organisation().equals(organisation.id())) {
                throw invalid(
                        other.organisation() + " and " + organisation.id() + " share an API key");
            }
        }
    }
}
