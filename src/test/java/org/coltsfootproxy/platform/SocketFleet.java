package org.coltsfootproxy.platform;

import com.google.common.io.MoreFiles;
import com.google.common.io.RecursiveDeleteOption;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.coltsfootproxy.runtime.HostProcess;
import org.coltsfootproxy.runtime.Settings;

/**
 * Whole hosts over loopback sockets: a control host, a store and a direct entry, with {@link
 * ScriptedTargets}.
 *
 * <p>Each service has routes of each kind, such as {@code /resumable-0/} for {@code service-0}.
 */
final class SocketFleet implements AutoCloseable {
    private static final String KEY = "key-of-the-test";
    private static final String ENTRY = "127.0.0.3";
    private static final int START_ATTEMPTS = 300;
    private static final long START_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final ScriptedTargets mTargets;
    private final int mServices;
    private final Path mFolder = Files.createTempDirectory("socket-fleet");
    private final List<HostProcess> mHosts = new ArrayList<>();
    private final InetSocketAddress mOperator;
    private final InetSocketAddress mCallers;

    private SocketFleet(int services, int targetsOfEach, long stopSeconds) throws Exception {
        mServices = services;
        // The targets take many ports; those of the hosts are chosen among the others.
        mTargets = ScriptedTargets.start(services, targetsOfEach);
        mOperator = new InetSocketAddress("127.0.0.1", freePort());
        mCallers = new InetSocketAddress(ENTRY, freePort());
        int peerPort = freePort();
        start(
                "127.0.0.1",
                peerPort,
                mOperator.getPort(),
                stopSeconds,
                """
                controlRole:
                  dataFolder: "%s"
                  operatorKeyDigest: "%s"
                  targetList: "%s"
                """
                        .formatted(
                                mFolder.resolve("control"),
                                "0".repeat(64),
                                mTargets.listAddress()));
        start(
                "127.0.0.2",
                peerPort,
                freePort(),
                stopSeconds,
                "storeRole:\n  dataFolder: \"%s\"\n".formatted(mFolder.resolve("store")));
        start(
                ENTRY,
                peerPort,
                freePort(),
                stopSeconds,
                "directEntry:\n  callerAddress: \"%s:%d\"\n".formatted(ENTRY, mCallers.getPort()));
    }

    /**
     * Starts a fleet and waits until it serves.
     *
     * @param timeoutMillis the time limit of all routes
     */
    static SocketFleet start(int services, int targetsOfEach, long stopSeconds, long timeoutMillis)
            throws Exception {
        SocketFleet fleet = new SocketFleet(services, targetsOfEach, stopSeconds);
        fleet.await(
                "PUT /coltsfootproxy/config HTTP/1.1\r\nHost: c\r\n",
                fleet.config(timeoutMillis),
                fleet.mOperator);
        fleet.targets()
                .script(
                        "probe",
                        (r, send, s) ->
                                ScriptedTargets.send(
                                        s, r.signedHead("200 OK", "Content-Length: 0")));
        for (int n = 0; n < services; n++) {
            fleet.await(
                    request("POST", "/repeatable-" + n + "/", "probe", 5_000), "", fleet.callers());
        }
        return fleet;
    }

    private void start(String host, int peerPort, int adminPort, long stopSeconds, String role)
            throws Exception {
        String common =
                """
                host: "%s"
                dataCentre: demo
                fleetSecret: secret-of-the-test
                peerAddress: "%s:%d"
                adminAddress: "%s:%d"
                stopSeconds: %d
                fleet: {seeds: ["127.0.0.1:1"], firstStart: true, losses: 0, keyMillis: 5000}
                """
                        .formatted(host, host, peerPort, host, adminPort, stopSeconds);
        mHosts.add(HostProcess.start(Settings.parse(host, common + role)));
    }

    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    private void await(String head, String body, InetSocketAddress address) throws Exception {
        String whole = head + "Content-Length: " + body.length() + "\r\n\r\n" + body;
        CallerSocket.Answer answer = null;
        for (int n = 0; n < START_ATTEMPTS; n++) {
            try (CallerSocket caller = new CallerSocket(address)) {
                answer = caller.send(whole).read();
                if (answer.status() == 200) {
                    return;
                }
            }
            LockSupport.parkNanos(START_INTERVAL_NANOS);
        }
        throw new AssertionError("not ready: " + answer);
    }

    private String config(long timeoutMillis) {
        String routes =
                IntStream.range(0, mServices)
                        .boxed()
                        .flatMap(
                                n ->
                                        List.of(
                                                route("repeatable", n, "idempotent", timeoutMillis),
                                                route("once", n, "non_idempotent", timeoutMillis),
                                                route(
                                                        "resumable",
                                                        n,
                                                        "streaming\",\"resumable\":true,\"x\":\"",
                                                        timeoutMillis),
                                                route("stream", n, "streaming", timeoutMillis),
                                                route(
                                                        "jobs",
                                                        n,
                                                        "batch\",\"run_target_ms\":18000,\"x\":\"",
                                                        timeoutMillis))
                                                .stream())
                        .collect(Collectors.joining(","));
        String services =
                IntStream.range(0, mServices)
                        .mapToObj("{\"name\":\"service-%d\"}"::formatted)
                        .collect(Collectors.joining(","));
        return """
        {"version": 1, "routes": [%s], "services": [%s],
         "tenants": [{"name": "demo", "api_keys": ["%s"], "rate_per_s": 5000, "burst": 5000}]}
        """
                .formatted(routes, services, KEY);
    }

    private static String route(String name, int service, String kind, long timeoutMillis) {
        return """
        {"name": "%s-%d", "host": "%s", "path_prefix": "/%s-%d/", "service": "service-%d",
         "timeout_ms": %d, "goal_ms": 1000, "gap_aim_ms": 4000, "max_attempts": 2, "kind": "%s"}
        """
                .formatted(name, service, ENTRY, name, service, service, timeoutMillis, kind);
    }

    /** Returns the head of a request without the fields that frame its body, and its last CRLF. */
    static String request(String method, String path, String id, long deadlineMillis) {
        String head =
                "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n"
                        .formatted(method, path, ENTRY, id, deadlineMillis);
        return head + "Authorization: Bearer " + KEY + "\r\n";
    }

    ScriptedTargets targets() {
        return mTargets;
    }

    InetSocketAddress callers() {
        return mCallers;
    }

    /** Stops the entry as planned and returns when its process would end. */
    void stopEntry() throws Exception {
        mHosts.remove(mHosts.size() - 1).stop();
    }

    @Override
    public void close() throws Exception {
        for (HostProcess host : mHosts) {
            host.close();
        }
        mTargets.close();
        MoreFiles.deleteRecursively(mFolder, RecursiveDeleteOption.ALLOW_INSECURE);
    }
}
