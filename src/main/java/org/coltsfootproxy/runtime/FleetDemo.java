package org.coltsfootproxy.runtime;

import com.google.common.io.MoreFiles;
import com.google.common.io.RecursiveDeleteOption;
import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.platform.DemoPlatform;

/**
 * A small fleet that is found by seeds: a control host, a host with jobs and an entry in one
 * process, on three numbers of loopback, with a stand-in of the users' platform.
 */
public final class FleetDemo implements AutoCloseable {
    private static final String CONTROL = "127.0.0.1";
    private static final String STORE = "127.0.0.2";
    private static final String ENTRY = "127.0.0.3";
    private static final String JOB = "briefings";
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private static final String COMMON =
            """
            host: "%s"
            dataCentre: demo
            fleetSecret: secret-of-the-demo-fleet
            peerAddress: "%s:%d"
            adminAddress: "%s"
            stopSeconds: 1
            fleet: {seeds: ["127.0.0.1:1"], firstStart: true, losses: 0, keyMillis: 5000}
            """;

    private final HttpClient mHttp =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final List<HostProcess> mHosts = new ArrayList<>();
    private final DemoPlatform mPlatform;
    private final Path mFolder;
    private final int mPeerPort;
    private final String mOperators;
    private final String mCallers;

    private FleetDemo(DemoPlatform platform, Path folder) throws IOException {
        mPlatform = platform;
        mFolder = folder;
        mPeerPort = freePort();
        mOperators = CONTROL + ":" + freePort();
        mCallers = ENTRY + ":" + freePort();
    }

    /**
     * Starts the fleet.
     *
     * @throws ProxyException if an address can't be used
     */
    public static FleetDemo start() throws ProxyException {
        try {
            Path folder = Files.createTempDirectory("coltsfootproxy-demo");
            FleetDemo demo = new FleetDemo(DemoPlatform.start(), folder);
            for (Settings settings : demo.settings()) {
                demo.mHosts.add(HostProcess.start(settings));
            }
            return demo;
        } catch (IOException e) {
            throw ProxyException.of(ErrorKind.INTERNAL, "the demonstration can't start", e);
        }
    }

    /** Returns a port that the system has just given out and taken back. */
    private static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0)) {
            return socket.getLocalPort();
        }
    }

    private List<Settings> settings() throws ProxyException, IOException {
        String control =
                common(CONTROL, mOperators)
                        + "controlRole:\n  dataFolder: \"%s\"\n  operatorKeyDigest: \"%s\"\n"
                                .formatted(mFolder.resolve("control"), "0".repeat(64))
                        + "  targetList: \""
                        + mPlatform.address()
                        + "\"\n";
        String store =
                common(STORE, STORE + ":" + freePort())
                        + "storeRole:\n  dataFolder: \""
                        + mFolder.resolve("store")
                        + "\"\n";
        String entry =
                common(ENTRY, ENTRY + ":" + freePort())
                        + "directEntry:\n  callerAddress: \""
                        + mCallers
                        + "\"\n";
        return List.of(
                Settings.parse("control", control),
                Settings.parse("store", store),
                Settings.parse("entry", entry));
    }

    private String common(String host, String admin) {
        return COMMON.formatted(host, host, mPeerPort, admin);
    }

    /** Puts the configuration and tells whether it was taken. */
    public boolean configure() throws ProxyException {
        String path = DemoPlatform.CONFIG_PATH;
        return send(mOperators, "PUT", path, "", DemoPlatform.config(ENTRY)).statusCode() == 200;
    }

    /** Sends a request for a stream and tells whether the stream came whole. */
    public boolean isStreamed(String request) throws ProxyException {
        HttpResponse<String> answer = send(mCallers, "POST", "/ask/1", request, new byte[] {'x'});
        return answer.statusCode() == 200 && answer.body().equals(DemoPlatform.events(request));
    }

    /** Sends a plain request and tells whether it got its own answer. */
    public boolean isAnswered(String request) throws ProxyException {
        byte[] body = request.getBytes(StandardCharsets.UTF_8);
        return send(mCallers, "POST", "/plain/1", request, body).body().equals(request);
    }

    /** Submits a batch job and tells whether it was accepted. */
    public boolean submit(int items) throws ProxyException {
        byte[] job = DemoPlatform.job(JOB, items);
        return send(mCallers, "POST", "/jobs/" + JOB, JOB, job).statusCode() == 202;
    }

    /** Tells whether the results of all items can be read, each to its end. */
    public boolean isJobWhole(int items) throws ProxyException {
        String results =
                send(mCallers, "GET", DemoPlatform.resultsPath(JOB), "reader", new byte[0]).body();
        String last = "-" + DemoPlatform.EVENTS;
        return IntStream.range(0, items).allMatch(n -> results.contains(item(n) + last));
    }

    /** Returns the name of an item of the batch job. */
    public static String item(int number) {
        return DemoPlatform.itemOf(JOB, number);
    }

    /** Returns how often the target has run a request or an item. */
    public int runs(String request) {
        return mPlatform.runs(request);
    }

    @Override
    public void close() throws ProxyException {
        try {
            for (HostProcess host : mHosts) {
                host.stop();
            }
            MoreFiles.deleteRecursively(mFolder, RecursiveDeleteOption.ALLOW_INSECURE);
        } catch (IOException e) {
            throw ProxyException.of(ErrorKind.INTERNAL, mFolder + " can't be removed", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } finally {
            mPlatform.close();
        }
    }

    private HttpResponse<String> send(
            String address, String method, String path, String request, byte[] body)
            throws ProxyException {
        HttpRequest.Builder call =
                HttpRequest.newBuilder(URI.create("http://" + address + path))
                        .timeout(TIMEOUT)
                        .method(method, HttpRequest.BodyPublishers.ofByteArray(body));
        if (!request.isEmpty()) {
            DemoPlatform.callerHeaders(request).forEach(h -> call.header(h.name(), h.value()));
        }
        try {
            return mHttp.send(call.build(), HttpResponse.BodyHandlers.ofString());
        } catch (IOException e) {
            throw ProxyException.of(ErrorKind.INTERNAL, address + " gave no answer", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw ProxyException.of(ErrorKind.CANCELLED, "interrupted", e);
        }
    }
}
