package org.coltsfootproxy.platform;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;

/**
 * Targets on loopback sockets that send exactly the bytes that a test scripts for a request, and
 * the platform's list that shows them.
 */
final class ScriptedTargets implements AutoCloseable {
    private static final int SLOTS = 500;

    private final HttpServer mList;
    private final List<Target> mTargets = new ArrayList<>();
    private final Map<String, Script> mScripts = new ConcurrentHashMap<>();
    private final List<Received> mReceived = new CopyOnWriteArrayList<>();

    /** Sends the answer to one request, or as much of it as the test wants. */
    interface Script {
        /**
         * Answers.
         *
         * @param send number of times that targets have received the request, this one included
         */
        void answer(Received request, int send, Socket socket) throws IOException;
    }

    /** A request as it arrived at a target. */
    record Received(String target, String head, String body) {
        String header(String name) {
            return head.lines()
                    .filter(line -> line.toLowerCase().startsWith(name.toLowerCase() + ":"))
                    .map(line -> line.substring(name.length() + 1).strip())
                    .findFirst()
                    .orElse("");
        }

        String id() {
            return header(PlatformHeaders.REQUEST_ID);
        }

        /** Returns a head that names this request and bears a signature. */
        String signedHead(String status, String... fields) {
            return "HTTP/1.1 %s\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\n"
                            .formatted(status, id(), target)
                    + String.join("", java.util.Arrays.stream(fields).map(f -> f + "\r\n").toList())
                    + "\r\n";
        }
    }

    private record Target(String id, String service, ServerSocket server) {}

    private ScriptedTargets(int services, int targetsOfEach) throws IOException {
        for (int n = 0; n < services * targetsOfEach; n++) {
            var server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
            var target = new Target("t-" + n, "service-" + n / targetsOfEach, server);
            mTargets.add(target);
            start(() -> accept(target));
        }
        mList = HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
        mList.createContext(
                "/",
                exchange -> {
                    byte[] list = list().getBytes(ISO_8859_1);
                    exchange.sendResponseHeaders(200, list.length);
                    exchange.getResponseBody().write(list);
                    exchange.close();
                });
        mList.start();
    }

    /** Starts targets; the services are named {@code service-0} and so on. */
    static ScriptedTargets start(int services, int targetsOfEach) throws IOException {
        return new ScriptedTargets(services, targetsOfEach);
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns the address of the list. */
    String listAddress() {
        return "127.0.0.1:" + mList.getAddress().getPort();
    }

    private String list() {
        return mTargets.stream()
                .map(
                        t ->
                                """
                                {"id": "%s", "service": "%s", "addr": "127.0.0.1:%d",
                                 "zone": "demo", "slots": %d, "state": "ready", "version": "v1"}
                                """
                                        .formatted(
                                                t.id(),
                                                t.service(),
                                                t.server().getLocalPort(),
                                                SLOTS))
                .collect(Collectors.joining(",", "{\"instances\":[", "],\"next_token\":null}"));
    }

    /** Sets how a request is answered; a request without script gets no answer. */
    void script(String request, Script script) {
        mScripts.put(request, script);
    }

    /** Returns the requests with the given id that have arrived. */
    List<Received> received(String request) {
        return mReceived.stream().filter(r -> r.id().equals(request)).toList();
    }

    private void accept(Target target) {
        try {
            while (true) {
                Socket socket = target.server().accept();
                start(() -> serve(target, socket));
            }
        } catch (IOException e) {
            // The test has ended.
        }
    }

    private void serve(Target target, Socket socket) {
        try {
            InputStream in = socket.getInputStream();
            while (!socket.isClosed()) {
                Received request = read(target, in);
                mReceived.add(request);
                Script script = mScripts.get(request.id());
                if (script != null) {
                    script.answer(request, received(request.id()).size(), socket);
                }
            }
        } catch (IOException e) {
            // The other end or the script has closed the connection.
        }
    }

    private static Received read(Target target, InputStream in) throws IOException {
        var head = new ByteArrayOutputStream();
        while (!head.toString(ISO_8859_1).endsWith("\r\n\r\n")) {
            int b = in.read();
            if (b < 0) {
                throw new IOException("closed");
            }
            head.write(b);
        }
        Received request = new Received(target.id(), head.toString(ISO_8859_1), "");
        String length = request.header("Content-Length");
        byte[] body = in.readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
        return new Received(target.id(), request.head(), new String(body, ISO_8859_1));
    }

    static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(ISO_8859_1));
        socket.getOutputStream().flush();
    }

    /** Resets a connection. */
    static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    @Override
    public void close() throws IOException {
        mList.stop(0);
        for (Target target : mTargets) {
            target.server().close();
        }
    }
}
