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

    static String route(String name, String kind, String service, String extraFields) {
        return String.format(
                "{\"name\":\"r-%s\",\"host\":\"svc.example\",\"path_prefix\":\"/%s/\","
                        + "\"kind\":\"%s\",\"timeout_ms\":5000,\"goal_ms\":300,\"gap_aim_ms\":400,"
                        + "\"service\":\"%s\",%s}",
                name, name, kind, service, extraFields);
    }
}
