/** Configurations of one batch route, like those of a small deployment. */
final class Config {
    static final String HOST = "ficu95.example";
    static final String KEY = "2b9wu3fexd9dnn2ctnfz";
    static final String PREFIX = "/pule252/";
    static final String ONLINE_PREFIX = "/lohu930/";

    private Config() {}

    static String batch(int version, String service, int runTargetMillis, int slots) {
        return batch(version, service, runTargetMillis, slots, 60);
    }

    static String batch(
            int version, String service, int runTargetMillis, int slots, int itemTtlSeconds) {
        return "{\"version\":" + version + ",\"routes\":[{\"name\":\"r-batch\",\"host\":\"" + HOST
                + "\",\"path_prefix\":\"" + PREFIX
                + "\",\"kind\":\"batch\",\"timeout_ms\":15000,\"goal_ms\":500,\"priority\":2,"
                + "\"service\":\"" + service
                + "\",\"max_attempts\":3,\"no_auth\":false,\"run_target_ms\":" + runTargetMillis
                + ",\"item_ttl_s\":" + itemTtlSeconds + "},{\"name\":\"r-online\",\"host\":\"" + HOST
                + "\",\"path_prefix\":\"" + ONLINE_PREFIX
                + "\",\"kind\":\"streaming\",\"timeout_ms\":5000,\"goal_ms\":300,\"priority\":0,"
                + "\"service\":\"" + service
                + "\",\"max_attempts\":2,\"no_auth\":false,\"sticky\":true,\"resumable\":true,"
                + "\"gap_aim_ms\":400}],\"services\":[" + service("first", slots) + ","
                + service("second", slots)
                + "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
                + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},"
                + "\"tenants\":[{\"name\":\"huka270\",\"api_keys\":[\"" + KEY
                + "\"],\"priority\":1,\"rate_per_s\":43,\"burst\":43}]}";
    }

    private static String service(String name, int slots) {
        return "{\"name\":\"" + name + "\",\"health_path\":\"/healthz\",\"max_conns\":370,"
                + "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":" + slots
                + ",\"kv_capacity_tokens\":134354}}";
    }
}
