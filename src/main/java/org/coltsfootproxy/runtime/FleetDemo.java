package org.coltsfootproxy.runtime;

import com.google.common.io.MoreFiles;
import com.google.common.io.RecursiveDeleteOption;
import java.io.IOException;
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
 * A small fleet with seeds for demonstrations: a control host, a store and a direct entry in one
 * process, on three loopback addresses, with a simulated platform.
 */
public final class FleetDemo implements AutoCloseable {
    private static final String CONTROL_HOST = "127.0.0.1";
    private static final String STORE_HOST = "127.0.0.2";
    private static final String ENTRY_HOST = "127.0.0.3";
    private static final String JOB_ID = "briefings";
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private static final String COMMON_SETTINGS =
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
    private final Path mDataFolder;
    private final int mPeerPort;
    private final String mOperatorAddress;
    private final String mCallerAddress;
    private final String mStoreAdminAddress;
    private final String mEntryAdminAddress;

    private FleetDemo(DemoPlatform platform, Path folder) throws IOException {
        mPlatform = platform;
        mDataFolder = folder;
        try (FreePorts ports = FreePorts.create()) {
            mPeerPort = ports.next();
            mOperatorAddress = CONTROL_HOST + ":" + ports.next();
            mCallerAddress = ENTRY_HOST + ":" + ports.next();
            mStoreAdminAddress = STORE_HOST + ":" + ports.next();
            mEntryAdminAddress = ENTRY_HOST + ":" + ports.next();
        }
    }

    /**
     * Starts the fleet.
     *
     * @throws ProxyException if an address can't be bound
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
            throw ProxyException.of(ErrorKind.INTERNAL, "the demo fleet can't start", e);
        }
    }

    private List<Settings> settings() throws ProxyException {
        String control =
                commonSettings(CONTROL_HOST, mOperatorAddress)
                        + "controlRole:\n  dataFolder: \"%s\"\n  operatorKeyDigest: \"%s\"\n"
                                .formatted(mDataFolder.resolve("control"), "0".repeat(64))
                        + "  targetList: \""
                        + mPlatform.address()
                        + "\"\n";
        String store =
                commonSettings(STORE_HOST, mStoreAdminAddress)
                        + "storeRole:\n  dataFolder: \""
                        + mDataFolder.resolve("store")
                        + "\"\n";
        String entry =
                commonSettings(ENTRY_HOST, mEntryAdminAddress)
                        + "directEntry:\n  callerAddress: \""
                        + mCallerAddress
                        + "\"\n";
        return List.of(
                Settings.parse("control", control),
                Settings.parse("store", store),
                Settings.parse("entry", entry));
    }

    private String commonSettings(String host, String admin) {
        return COMMON_SETTINGS.formatted(host, host, mPeerPort, admin);
    }

    /** Uploads the configuration and returns whether it was accepted. */
    public boolean configure() throws ProxyException {
        String path = DemoPlatform.CONFIG_PATH;
        return send(mOperatorAddress, "PUT", path, "", DemoPlatform.config(ENTRY_HOST)).statusCode()
                == 200;
    }

    /** Sends a request for a stream and returns whether the stream arrived completely. */
    public boolean isStreamed(String request) throws ProxyException {
        HttpResponse<String> answer =
                send(mCallerAddress, "POST", "/ask/1", request, new byte[] {'x'});
        return answer.statusCode() == 200 && answer.body().equals(DemoPlatform.events(request));
    }

    /** Sends a plain request and returns whether the response is its own. */
    public boolean isAnswered(String request) throws ProxyException {
        byte[] body = request.getBytes(StandardCharsets.UTF_8);
        return send(mCallerAddress, "POST", "/plain/1", request, body).body().equals(request);
    }

    /** Submits a batch job and returns whether it was accepted. */
    public boolean submit(int items) throws ProxyException {
        byte[] job = DemoPlatform.job(JOB_ID, items);
        return send(mCallerAddress, "POST", "/jobs/" + JOB_ID, JOB_ID, job).statusCode() == 202;
    }

    /** Returns whether the results contain the last event of every item. */
    public boolean isJobComplete(int items) throws ProxyException {
        String results =
                send(mCallerAddress, "GET", DemoPlatform.resultsPath(JOB_ID), "reader", new byte[0])
                        .body();
        String last = "-" + DemoPlatform.EVENTS;
        return IntStream.range(0, items).allMatch(n -> results.contains(item(n) + last));
    }

    /** Returns the id of an item of the batch job. */
    public static String item(int number) {
        return DemoPlatform.itemOf(JOB_ID, number);
    }

    /** Returns how many times the target has run a request or an item. */
    public int runs(String request) {
        return mPlatform.runs(request);
    }

    @Override
    public void close() throws ProxyException {
        try {
            for (HostProcess host : mHosts) {
                host.stop();
            }
            MoreFiles.deleteRecursively(mDataFolder, RecursiveDeleteOption.ALLOW_INSECURE);
        } catch (IOException e) {
            throw ProxyException.of(ErrorKind.INTERNAL, mDataFolder + " can't be deleted", e);
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
            throw ProxyException.of(ErrorKind.INTERNAL, address + " did not respond", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw ProxyException.of(ErrorKind.CANCELLED, "interrupted", e);
        }
    }
}
