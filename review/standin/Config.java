import java.nio.charset.StandardCharsets;

/** Documents of the operator. */
final class Config {
    static final String HOST = "site.example";
    static final String KEY = "key-of-the-tenant-0001";
    static final String LM = "svc-lm";

    private Config() {}

    /**
     * Returns a complete configuration.
     *
     * @param more number of further routes
     * @param timeout time limit of the first further route, which a change sets anew
     */
    static byte[] document(long version, int more, int timeout) {
        StringBuilder json = new StringBuilder();
        json.append("{\"version\":").append(version).append(",\"routes\":[");
        json.append(route("r-stream", "/ask/", "streaming", "\"resumable\":true,", 5000));
        json.append(',').append(route("r-once", "/swap/", "streaming", "\"resumable\":false,", 5000));
        json.append(',')
                .append(
                        route(
                                "r-batch",
                                "/lots/",
                                "batch",
                                "\"run_target_ms\":18000,\"item_ttl_s\":60,",
                                15000));
        for (int i = 0; i < more; i++) {
            json.append(',')
                    .append(
                            route(
                                    "r-more-" + i,
                                    "/more" + i + "/",
                                    "streaming",
                                    "\"resumable\":false,",
                                    i == 0 ? timeout : 5000));
        }
        json.append("],\"services\":[{\"name\":\"" + LM + "\",\"health_path\":\"/healthz\",")
                .append("\"max_conns\":370,\"protocol\":\"h1\",\"tls\":false,")
                .append("\"engine\":{\"slots\":8,\"kv_capacity_tokens\":134354}}],")
                .append("\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,")
                .append("\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000},")
                .append("\"tenants\":[{\"name\":\"tenant-1\",\"api_keys\":[\"" + KEY + "\"],")
                .append("\"priority\":1,\"rate_per_s\":100,\"burst\":100}]}");
        return json.toString().getBytes(StandardCharsets.UTF_8);
    }

    private static String route(String name, String prefix, String kind, String more, int timeout) {
        return "{\"name\":\"" + name + "\",\"host\":\"" + HOST + "\",\"path_prefix\":\"" + prefix
                + "\",\"kind\":\"" + kind + "\",\"timeout_ms\":" + timeout
                + ",\"goal_ms\":300,\"priority\":0,\"service\":\"" + LM + "\",\"max_attempts\":3,"
                + "\"no_auth\":false,\"sticky\":true," + more + "\"gap_aim_ms\":400}";
    }
}
