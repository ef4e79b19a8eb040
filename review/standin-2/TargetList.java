import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;

/** Stand-in of the platform's list of replicas. */
final class TargetList implements AutoCloseable {
    private final ServerSocket mServer;
    private final List<Replica> mReplicas = new CopyOnWriteArrayList<>();

    TargetList(InetSocketAddress address) throws IOException {
        mServer = new ServerSocket();
        mServer.setReuseAddress(true);
        mServer.bind(address);
        Thread thread = new Thread(this::accept, "list");
        thread.setDaemon(true);
        thread.start();
    }

    void add(Replica replica) {
        mReplicas.add(replica);
    }

    void remove(Replica replica) {
        mReplicas.remove(replica);
    }

    private void accept() {
        while (!mServer.isClosed()) {
            try {
                Socket socket = mServer.accept();
                Thread thread = new Thread(() -> serve(socket), "list-call");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = socket.getInputStream();
            while (true) {
                Http.line(in);
                Map<String, String> headers = Http.headers(in);
                Http.body(in, headers, false);
                byte[] body = list().getBytes(StandardCharsets.UTF_8);
                String head =
                        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                                + body.length
                                + "\r\n\r\n";
                socket.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
                socket.getOutputStream().write(body);
            }
        } catch (IOException e) {
            // The caller has gone.
        }
    }

    private String list() {
        StringBuilder entries = new StringBuilder();
        mReplicas.forEach(r -> entries.append(entries.isEmpty() ? "" : ",").append(r.listed()));
        return "{\"instances\":[" + entries + "],\"next_token\":null}";
    }

    @Override
    public void close() throws IOException {
        mServer.close();
    }
}
