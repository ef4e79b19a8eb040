package org.coltsfootproxy.platform;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.coltsfootproxy.message.Header;

/**
 * Simulates the platform on loopback for demonstrations.
 *
 * <p>Serves the list of targets and one target that streams events and echoes plain requests, and
 * builds the documents and headers that operators and callers send.
 */
public final class DemoPlatform implements AutoCloseable {
    /** Number of events in each stream and in each item's output. */
    public static final int EVENTS = 10;

    /** Path to which operators upload the configuration. */
    public static final String CONFIG_PATH = "/coltsfootproxy/config";

    private static final String API_KEY = "demo-key";
    private static final String TARGET_ID = "demo-target";
    private static final int TARGET_SLOTS = 8;
    private static final long EVENT_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

    private final HttpServer mServer;
    private final ExecutorService mExecutor = Executors.newCachedThreadPool();
    private final ConcurrentMap<String, Integer> mRunsByRequest = new ConcurrentHashMap<>();

    private DemoPlatform() throws IOException {
        mServer = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        mServer.setExecutor(mExecutor);
        mServer.createContext("/", this::handle);
        mServer.start();
    }

    /** Starts the platform on a free loopback port. */
    public static DemoPlatform start() throws IOException {
        return new DemoPlatform();
    }

    /** Returns the address of both the list of targets and the target. */
    public String address() {
        return "127.0.0.1:" + mServer.getAddress().getPort();
    }

    /** Returns how many times the target has run a request or an item. */
    public int runs(String request) {
        return mRunsByRequest.getOrDefault(request, 0);
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            String path = exchange.getRequestURI().getPath();
            byte[] body = exchange.getRequestBody().readAllBytes();
            if (path.equals(new PlatformTargetListProtocol().firstPath())) {
                exchange.sendResponseHeaders(200, 0);
                exchange.getResponseBody().write(targetList().getBytes(StandardCharsets.UTF_8));
            } else {
                run(exchange, path, body);
            }
        }
    }

    private String targetList() {
        return """
        {"instances": [
          {"id": "%s", "service": "demo-engine", "addr": "%s", "zone": "demo", "slots": %d,
           "state": "ready"}],
         "next_token": null}
        """
                .formatted(TARGET_ID, address(), TARGET_SLOTS);
    }

    private void run(HttpExchange exchange, String path, byte[] body) throws IOException {
        String request =
                Optional.ofNullable(
                                exchange.getRequestHeaders().getFirst(PlatformHeaders.REQUEST_ID))
                        .orElse("");
        mRunsByRequest.merge(request, 1, Integer::sum);
        var headers = exchange.getResponseHeaders();
        headers.set(PlatformHeaders.REQUEST_ID, request);
        headers.set(PlatformHeaders.SERVER_STAMP, "demo");
        headers.set(PlatformHeaders.SERVER_LOAD, "1,0," + TARGET_SLOTS);
        if (path.startsWith("/plain/")) {
            exchange.sendResponseHeaders(200, body.length == 0 ? -1 : body.length);
            exchange.getResponseBody().write(body);
            return;
        }
        headers.set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(200, 0);
        OutputStream events = exchange.getResponseBody();
        for (int number = 1; number <= EVENTS; number++) {
            LockSupport.parkNanos(EVENT_INTERVAL_NANOS);
            events.write(event(request, number).getBytes(StandardCharsets.UTF_8));
            events.flush();
        }
    }

    private static String event(String request, int number) {
        return "id: " + number + "\ndata: " + request + "-" + number + "\n\n";
    }

    /** Returns the complete stream of events for a request. */
    public static String events(String request) {
        return IntStream.rangeClosed(1, EVENTS)
                .mapToObj(number -> event(request, number))
                .collect(Collectors.joining());
    }

    /**
     * Returns a configuration with a route of each kind: {@code /ask/}, {@code /plain/}, {@code
     * /jobs/}.
     *
     * @param host host name or IP address that callers use for the entry
     */
    public static byte[] config(String host) {
        String routes =
                String.join(
                        ",",
                        route("ask", host, "\"kind\":\"streaming\",\"resumable\":true"),
                        route("plain", host, "\"kind\":\"idempotent\""),
                        route("jobs", host, "\"kind\":\"batch\",\"run_target_ms\":18000"));
        return """
        {"version": 1, "routes": [%s], "services": [{"name": "demo-engine"}],
         "tenants": [{"name": "demo", "api_keys": ["%s"], "rate_per_s": 500, "burst": 500}]}
        """
                .formatted(routes, API_KEY)
                .getBytes(StandardCharsets.UTF_8);
    }

    private static String route(String name, String host, String kind) {
        return """
        {"name": "%s", "host": "%s", "path_prefix": "/%s/", "service": "demo-engine",
         "timeout_ms": 5000, "goal_ms": 1000, "gap_aim_ms": 1000, "max_attempts": 2, %s}
        """
                .formatted(name, host, name, kind);
    }

    /** Returns the headers of a caller's request. */
    public static List<Header> callerHeaders(String request) {
        return List.of(
                Header.of(PlatformHeaders.REQUEST_ID, request),
                Header.of(PlatformHeaders.DEADLINE_MS, "5000"),
                Header.of("Authorization", "Bearer " + API_KEY));
    }

    /** Returns the document of a batch job; its item ids start with the job's id. */
    public static byte[] job(String job, int items) {
        return IntStream.range(0, items)
                .mapToObj(number -> item(itemOf(job, number)))
                .collect(Collectors.joining(",", "{\"items\":[", "]}"))
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the id of a job's item. */
    public static String itemOf(String job, int number) {
        return job + "-" + number;
    }

    private static String item(String id) {
        String body = Base64.getEncoder().encodeToString(id.getBytes(StandardCharsets.UTF_8));
        return """
        {"id": "%s", "path": "/jobs/%s", "headers": {}, "body": "%s", "tokens": 10}
        """
                .formatted(id, id, body);
    }

    /** Returns the path that reads a job's results from the first one on. */
    public static String resultsPath(String job) {
        return "/coltsfootproxy/lots/" + job + "?after=0";
    }

    @Override
    public void close() {
        mServer.stop(0);
        mExecutor.shutdownNow();
    }
}
