package org.coltsfootproxy.soak;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.stream.Collectors;

/** Stand-in of the platform's list of targets. */
final class StandInTargetList implements AutoCloseable {
    private final ServerSocket mServer = new ServerSocket();
    private final List<StandInTarget> mTargets = new CopyOnWriteArrayList<>();

    StandInTargetList(InetSocketAddress address) throws IOException {
        mServer.setReuseAddress(true);
        mServer.bind(address);
        StandInTarget.daemon(this::accept, "list");
    }

    void add(StandInTarget target) {
        mTargets.add(target);
    }

    void remove(StandInTarget target) {
        mTargets.remove(target);
    }

    private void accept() {
        while (!mServer.isClosed()) {
            try {
                Socket socket = mServer.accept();
                StandInTarget.daemon(() -> serve(socket), "list-call");
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream());
            while (true) {
                Wire.skipBody(in, Wire.head(in));
                byte[] body =
                        Wire.ascii(
                                mTargets.stream()
                                        .map(StandInTarget::listed)
                                        .collect(
                                                Collectors.joining(
                                                        ",",
                                                        "{\"instances\":[",
                                                        "],\"next_token\":null}")));
                socket.getOutputStream()
                        .write(
                                Wire.ascii(
                                        "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                                                + "Content-Length: "
                                                + body.length
                                                + "\r\n\r\n"));
                socket.getOutputStream().write(body);
            }
        } catch (IOException e) {
            // The host that reads the list has gone.
            return;
        }
    }

    @Override
    public void close() throws IOException {
        mServer.close();
    }
}
