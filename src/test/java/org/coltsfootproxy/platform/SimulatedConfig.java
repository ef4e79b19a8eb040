package org.coltsfootproxy.platform;

/** Configuration documents of a {@link PlatformSimulation}. */
final class SimulatedConfig {
    private SimulatedConfig() {}

    /** Returns a configuration with a route of each kind and two organisations. */
    static String config(long version, int rate) {
        return config(version, rate, PlatformSimulation.ALPHA_KEY);
    }

    static String config(long version, int rate, String key) {
        return "{\"version\":"
                + version
                + ",\"routes\":["
                + String.join(
                        ",",
                        route(
                                "ask",
                                "streaming",
                                PlatformSimulation.LM_SERVICE,
                                "\"resumable\":true,\"max_attempts\":2"),
                        route(
                                "swap",
                                "streaming",
                                PlatformSimulation.LM_SERVICE,
                                "\"max_attempts\":1"),
                        route(
                                "card",
                                "idempotent",
                                PlatformSimulation.APP_SERVICE,
                                "\"max_attempts\":2"),
                        route(
                                "pay",
                                "non_idempotent",
                                PlatformSimulation.APP_SERVICE,
                                "\"max_attempts\":1"),
                        route(
                                "free",
                                "idempotent",
                                PlatformSimulation.APP_SERVICE,
                                "\"no_auth\":true,\"max_attempts\":2"),
                        route(
                                "jobs",
                                "batch",
                                PlatformSimulation.LM_SERVICE,
                                "\"max_attempts\":3,\"run_target_ms\":18000"))
                + "],\"services\":[{\"name\":\"lm\",\"engine\":{\"slots\":8}},{\"name\":\"app\"}],"
                + "\"tenants\":[{\"name\":\"alpha\",\"api_keys\":[\""
                + key
                + "\"],\"rate_per_s\":"
                + rate
                + ",\"burst\":"
                + rate
                + "},{\"name\":\"beta\",\"api_keys\":[\""
                + PlatformSimulation.BETA_KEY
                + "\"]}]}";
    }

    /** Returns a configuration whose jobs run at the given service. */
    static String configWithJobsAt(long version, String service) {
        return withJobsRoute(version, jobsRoute("\"service\":\"" + service + "\""));
    }

    /** Returns a configuration whose jobs are split over two services by weight. */
    static String configWithJobsSplit(
            long version, String first, int firstWeight, String second, int secondWeight) {
        return withJobsRoute(
                version,
                jobsRoute(
                        String.format(
                                "\"split\":[{\"service\":\"%s\",\"weight\":%d},"
                                        + "{\"service\":\"%s\",\"weight\":%d}]",
                                first, firstWeight, second, secondWeight)));
    }

    /** Returns a configuration without a route for jobs. */
    static String configWithoutJobs(long version) {
        return withJobsRoute(version, "");
    }

    private static String jobsRoute(String services) {
        return "{\"name\":\"r-jobs\",\"host\":\"svc.example\",\"path_prefix\":\"/jobs/\","
                + "\"kind\":\"batch\",\"timeout_ms\":5000,\"goal_ms\":300,\"gap_aim_ms\":400,"
                + "\"max_attempts\":3,\"run_target_ms\":18000,"
                + services
                + "}";
    }

    private static String withJobsRoute(long version, String route) {
        return config(version, 1_000)
                .replaceFirst(",\\{\"name\":\"r-jobs\"[^}]*}", route.isEmpty() ? "" : "," + route)
                .replace("{\"name\":\"app\"}", "{\"name\":\"app\"},{\"name\":\"lm-new\"}");
    }

    static String route(String name, String kind, String service, String extraFields) {
        return String.format(
                "{\"name\":\"r-%s\",\"host\":\"svc.example\",\"path_prefix\":\"/%s/\","
                        + "\"kind\":\"%s\",\"timeout_ms\":5000,\"goal_ms\":300,\"gap_aim_ms\":400,"
                        + "\"service\":\"%s\",%s}",
                name, name, kind, service, extraFields);
    }
}
