import com.sun.net.httpserver.Headers;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/** A sound model replica that runs streams, at most as many at once as it has slots. */
final class Replica implements AutoCloseable {
    final String id;
    final String service;
    final String zone;
    final int slots;
    final int events;
    final int eventMillis;
    final int eventBytes;
    final AtomicInteger runs = new AtomicInteger();

    /** The ids of the requests and items that have begun to run here. */
    final Set<String> ran = ConcurrentHashMap.newKeySet();

    private final AtomicInteger mRunning = new AtomicInteger();
    private volatile long mLastChange = System.nanoTime();
    private final HttpServer mServer;

    Replica(String id, String service, String zone, int slots, int events, int eventMillis, int eventBytes) {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.slots = slots;
        this.events = events;
        this.eventMillis = eventMillis;
        this.eventBytes = eventBytes;
        try {
            mServer = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        mServer.setExecutor(Executors.newCachedThreadPool(Replica::daemon));
        mServer.createContext("/", this::handle);
        mServer.start();
    }

    static Thread daemon(Runnable run) {
        Thread thread = new Thread(run);
        thread.setDaemon(true);
        return thread;
    }

    String address() {
        return "127.0.0.1:" + mServer.getAddress().getPort();
    }

    String entry() {
        return String.format(
                "{\"service\":\"%s\",\"addr\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,"
                        + "\"state\":\"ready\",\"cold_left_ms\":0,\"id\":\"%s\"}",
                service, address(), zone, slots, id);
    }

    /** Returns the data of an event: its request and number, filled up to the given length. */
    static String data(String request, int event, int bytes) {
        String text = request + "-" + event + "-";
        return text + "x".repeat(Math.max(0, bytes - text.length()));
    }

    /** Returns whether no request runs, and none has begun or ended for this time. */
    boolean isIdleFor(long millis) {
        return mRunning.get() == 0 && System.nanoTime() - mLastChange >= millis * 1_000_000;
    }

    private void handle(HttpExchange exchange) throws IOException {
        try (exchange) {
            exchange.getRequestBody().readAllBytes();
            Headers in = exchange.getRequestHeaders();
            Headers out = exchange.getResponseHeaders();
            String request = in.getFirst("Request-Id");
            if (request == null) {
                out.set("Instance-Id", id);
                exchange.sendResponseHeaders(200, -1);
                return;
            }
            out.set("Request-Id", request);
            out.set("Server-Load", mRunning.get() + ",0," + slots);
            String target = in.getFirst("Target-Instance");
            if (target != null && !target.equals(id)) {
                out.set("Not-Run", "1");
                exchange.sendResponseHeaders(421, -1);
            } else if (mRunning.incrementAndGet() > slots) {
                mRunning.decrementAndGet();
                out.set("Not-Run", "1");
                exchange.sendResponseHeaders(503, -1);
            } else {
                try {
                    run(exchange, request, in.getFirst("Last-Event-Id"));
                } finally {
                    mRunning.decrementAndGet();
                    mLastChange = System.nanoTime();
                }
            }
        }
    }

    private void run(HttpExchange exchange, String request, String after) throws IOException {
        int first = after == null ? 1 : Integer.parseInt(after.strip()) + 1;
        runs.incrementAndGet();
        ran.add(request);
        mLastChange = System.nanoTime();
        exchange.getResponseHeaders().set("Server-Stamp", id + "." + request);
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(200, 0);
        OutputStream body = exchange.getResponseBody();
        for (int event = first; event <= events; event++) {
            try {
                Thread.sleep(eventMillis);
            } catch (InterruptedException e) {
                return;
            }
            body.write(
                    ("id: " + event + "\ndata: " + data(request, event, eventBytes) + "\n\n")
                            .getBytes(StandardCharsets.UTF_8));
            body.flush();
        }
        body.close();
    }

    @Override
    public void close() {
        mServer.stop(0);
    }
}
