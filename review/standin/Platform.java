import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executors;
import java.util.stream.Collectors;

/** The platform's list of replicas. */
final class Platform implements AutoCloseable {
    final List<Replica> replicas = new CopyOnWriteArrayList<>();
    private final HttpServer mServer;

    Platform() {
        try {
            mServer = HttpServer.create(new InetSocketAddress("127.0.0.1", 0), 0);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        mServer.setExecutor(Executors.newCachedThreadPool(Replica::daemon));
        mServer.createContext("/instances", this::list);
        mServer.start();
    }

    String address() {
        return "127.0.0.1:" + mServer.getAddress().getPort();
    }

    private void list(HttpExchange exchange) throws IOException {
        try (exchange) {
            byte[] body =
                    replicas.stream()
                            .map(Replica::entry)
                            .collect(
                                    Collectors.joining(
                                            ",", "{\"instances\":[", "],\"next_token\":null}"))
                            .getBytes(StandardCharsets.UTF_8);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(200, body.length);
            exchange.getResponseBody().write(body);
        }
    }

    @Override
    public void close() {
        mServer.stop(0);
    }
}
