import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-in of a model replica: streams {@code events} events for each request, one every {@code
 * eventMillis}, with at most {@code slots} requests at once; it refuses others as not run.
 */
final class Replica implements AutoCloseable {
    /** Memory of a replica; a larger request is rejected as if the replica were full. */
    static final int MEMORY_TOKENS = 134_354;

    final String id;
    final String service;
    final String zone;
    final String version;
    private final InetSocketAddress mAddress;
    private final int mSlots;
    private final int mEvents;
    private final long mEventMillis;
    private final Record mRecord;
    private final ServerSocket mServer;
    private final AtomicInteger mRunning = new AtomicInteger();
    private final Set<Socket> mSockets = ConcurrentHashMap.newKeySet();
    private final long mBorn = System.currentTimeMillis();
    private volatile String mState = "ready";

    /** Time of the record at which a request last began or ended here. */
    volatile long lastActivity;

    /** Ids of the requests that have run to their end here. */
    final Map<String, Integer> finished = new ConcurrentHashMap<>();

    Replica(
            String id,
            String service,
            String zone,
            InetSocketAddress address,
            int slots,
            int events,
            long eventMillis,
            Record record)
            throws IOException {
        this(id, service, zone, "v1", address, slots, events, eventMillis, record);
    }

    Replica(
            String id,
            String service,
            String zone,
            String version,
            InetSocketAddress address,
            int slots,
            int events,
            long eventMillis,
            Record record)
            throws IOException {
        this.version = version;
        this.id = id;
        this.service = service;
        this.zone = zone;
        mAddress = address;
        mSlots = slots;
        mEvents = events;
        mEventMillis = eventMillis;
        mRecord = record;
        mServer = new ServerSocket();
        mServer.setReuseAddress(true);
        mServer.bind(address);
        Thread thread = new Thread(this::accept, id);
        thread.setDaemon(true);
        thread.start();
    }

    /** Text of the whole answer to a request, as a batch job's result has to show it. */
    static String output(String request, int events, String version) {
        StringBuilder text = new StringBuilder();
        for (int n = 1; n <= events; n++) {
            text.append(n > 1 ? "\n" : "").append(data(request, n, version));
        }
        return text.toString();
    }

    private static String data(String request, int event, String version) {
        return "text " + event + " by " + version + " of the answer to request " + request;
    }

    int running() {
        return mRunning.get();
    }

    int slots() {
        return mSlots;
    }

    void drain() {
        mState = "draining";
    }

    String listed() {
        return String.format(
                "{\"service\":\"%s\",\"addr\":\"%s:%d\",\"zone\":\"%s\",\"version\":\"%s\","
                        + "\"slots\":%d,\"state\":\"%s\",\"cold_left_ms\":0,\"born\":%d,\"id\":\"%s\"}",
                service,
                mAddress.getAddress().getHostAddress(),
                mAddress.getPort(),
                zone,
                version,
                mSlots,
                mState,
                mBorn,
                id);
    }

    private void accept() {
        while (!mServer.isClosed()) {
            try {
                Socket socket = mServer.accept();
                mSockets.add(socket);
                Thread thread = new Thread(() -> serve(socket), id + "-call");
                thread.setDaemon(true);
                thread.start();
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                String first = Http.line(in);
                Map<String, String> headers = Http.headers(in);
                Http.body(in, headers, false);
                answer(first, headers, socket.getOutputStream());
            }
        } catch (IOException e) {
            // The caller has gone.
        } finally {
            mSockets.remove(socket);
        }
    }

    private void answer(String first, Map<String, String> headers, OutputStream out)
            throws IOException {
        String request = headers.getOrDefault("request-id", "");
        String target = headers.getOrDefault("target-instance", id);
        if (!target.equals(id)) {
            refuse(421, request, out);
            return;
        }
        if (tokens(headers) > MEMORY_TOKENS) {
            refuse(503, request, out);
            return;
        }
        if (mRunning.incrementAndGet() > mSlots) {
            mRunning.decrementAndGet();
            refuse(503, request, out);
            return;
        }
        try {
            run(first, request, headers, out);
        } finally {
            mRunning.decrementAndGet();
        }
    }

    private static int tokens(Map<String, String> headers) {
        int sum = 0;
        for (String figure : headers.getOrDefault("token-count", "0").split(",")) {
            sum += Integer.parseInt(figure.trim());
        }
        return sum;
    }

    private void refuse(int status, String request, OutputStream out) throws IOException {
        write(
                out,
                "HTTP/1.1 " + status + " Refused\r\nRequest-Id: " + request
                        + "\r\nNot-Run: 1\r\nInstance-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
    }

    private void run(String first, String request, Map<String, String> headers, OutputStream out)
            throws IOException {
        lastActivity = mRecord.millis();
        String after = headers.getOrDefault("last-event-id", "0");
        mRecord.write(
                "replica " + id + " at " + version + " of " + service + " runs " + request + " after event " + after);
        write(
                out,
                "HTTP/1.1 200 OK\r\nRequest-Id: " + request
                        + "\r\nServer-Stamp: stamp." + id + "." + request
                        + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked"
                        + "\r\nServer-Load: " + mRunning.get() + ",0," + mSlots + "\r\n\r\n");
        for (int n = Integer.parseInt(after) + 1; n <= mEvents; n++) {
            sleep(mEventMillis);
            String event = "id: " + n + "\ndata: " + data(request, n, version) + "\n\n";
            write(out, Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
        }
        write(out, "0\r\n\r\n");
        lastActivity = mRecord.millis();
        finished.merge(request, 1, Integer::sum);
        mRecord.write("replica " + id + " has finished " + request);
    }

    private static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.US_ASCII));
        out.flush();
    }

    /** Ends the replica: its address no longer accepts connections. */
    @Override
    public void close() throws IOException {
        mServer.close();
        for (Socket socket : mSockets) {
            socket.close();
        }
    }
}
