package org.coltsfootproxy.soak;

import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/** The routes of the deployment that the soak plays, and the configuration that names them. */
final class SoakRoutes {
    static final String HOST = "ficu95.example";
    static final String KEY = "2b9wu3fexd9dnn2ctnfz";
    static final String MODEL_SERVICE = "rota-assistant";
    static final String PLAIN_SERVICE = "card-service";

    /** Kind of a route. */
    enum Kind {
        STREAMING,
        IDEMPOTENT,
        BATCH
    }

    /**
     * A route.
     *
     * @param perSecond requests a second over the whole fleet; batch jobs for a batch route
     */
    record Route(
            String name,
            Kind kind,
            String service,
            int maxAttempts,
            boolean isResumable,
            int goalMillis,
            int deadlineMillis,
            double perSecond) {
        String prefix() {
            return "/" + name + "/";
        }
    }

    static final Route CHAIR_QUERY =
            new Route("chair-query", Kind.STREAMING, MODEL_SERVICE, 2, true, 300, 5_000, 5.08);
    static final Route SWAP_REQUEST =
            new Route("swap-request", Kind.STREAMING, MODEL_SERVICE, 1, false, 300, 5_000, 23.2);
    static final Route SHIFT_CARD =
            new Route("shift-card", Kind.IDEMPOTENT, PLAIN_SERVICE, 2, false, 386, 1_500, 8.88);
    static final Route TIDE_BRIEF =
            new Route("tide-brief", Kind.BATCH, MODEL_SERVICE, 3, true, 500, 4_000, 0.36);
    static final List<Route> ONLINE = List.of(CHAIR_QUERY, SWAP_REQUEST, SHIFT_CARD);
    private static final List<Route> ALL =
            List.of(CHAIR_QUERY, SWAP_REQUEST, SHIFT_CARD, TIDE_BRIEF);

    private SoakRoutes() {}

    /** Returns the route of a path; empty for another call, such as a health check. */
    static Optional<Route> ofPath(String path) {
        return ALL.stream().filter(route -> path.startsWith(route.prefix())).findFirst();
    }

    /** Returns the configuration with a version. */
    static String document(int version) {
        return "{\"version\":"
                + version
                + ",\"routes\":["
                + ALL.stream().map(SoakRoutes::route).collect(Collectors.joining(","))
                + "],\"services\":["
                + "{\"name\":\"rota-assistant\",\"health_path\":\"/healthz\",\"max_conns\":370,"
                + "\"protocol\":\"h1\",\"tls\":false,"
                + "\"engine\":{\"slots\":8,\"kv_capacity_tokens\":134354}},"
                + "{\"name\":\"card-service\",\"health_path\":\"/healthz\",\"max_conns\":110,"
                + "\"protocol\":\"h1\",\"tls\":false}],"
                + "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"huka270\",\"api_keys\":[\""
                + KEY
                + "\"],\"priority\":1,\"rate_per_s\":0,\"burst\":0}]}";
    }

    private static String route(Route route) {
        return String.format(
                "{\"name\":\"r-%s\",\"host\":\"%s\",\"path_prefix\":\"%s\",\"kind\":\"%s\","
                        + "\"timeout_ms\":%d,\"goal_ms\":%d,\"priority\":%d,\"service\":\"%s\","
                        + "\"max_attempts\":%d,\"no_auth\":false%s}",
                route.name(),
                HOST,
                route.prefix(),
                route.kind().name().toLowerCase(),
                route.kind() == Kind.BATCH ? 15_000 : route.deadlineMillis(),
                route.goalMillis(),
                route.kind() == Kind.STREAMING ? 0 : 2,
                route.service(),
                route.maxAttempts(),
                switch (route.kind()) {
                    case STREAMING ->
                            ",\"sticky\":true,\"gap_aim_ms\":400,\"resumable\":"
                                    + route.isResumable();
                    case BATCH -> ",\"sticky\":true,\"run_target_ms\":18000,\"item_ttl_s\":60";
                    case IDEMPOTENT -> "";
                });
    }
}
