package org.coltsfootproxy.runtime;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.google.common.io.MoreFiles;
import com.google.common.io.RecursiveDeleteOption;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.config.KeyDigest;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests control hosts on real sockets and files: restarts, and recovery from a lost quorum. */
public final class ControlHostsTest {
    private static final String OPERATOR_KEY = "operators-key";
    private static final int HOST_COUNT = 3;
    private static final long TICKET_TIMEOUT_NANOS = TimeUnit.MINUTES.toNanos(2);
    private static final long POLL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final HttpClient mHttp =
            HttpClient.newBuilder().connectTimeout(Duration.ofSeconds(5)).build();
    private final List<Settings> mSettings = new ArrayList<>();
    private final List<HostProcess> mRunning = new ArrayList<>();
    private Path mFolder;

    @BeforeMethod
    public void describeHosts() throws Exception {
        mFolder = Files.createTempDirectory("control-hosts");
        mSettings.clear();
        List<String> addresses = new ArrayList<>();
        try (FreePorts ports = FreePorts.create()) {
            for (int i = 0; i < 2 * HOST_COUNT; i++) {
                addresses.add(ports.nextLoopbackAddress());
            }
        }
        for (int i = 0; i < HOST_COUNT; i++) {
            mSettings.add(Settings.parse("c" + i, settings(i, addresses)));
        }
    }

    private String settings(int host, List<String> addresses) {
        StringBuilder text = new StringBuilder();
        text.append("host: c").append(host).append("\ndataCentre: solway\n");
        text.append("fleetSecret: secret-of-this-fleet\n");
        text.append("peerAddress: ").append(addresses.get(host)).append('\n');
        text.append("adminAddress: ")
                .append(addresses.get(HOST_COUNT + host))
                .append("\ncontrol:\n");
        for (int i = 0; i < HOST_COUNT; i++) {
            text.append("  - {host: c").append(i).append(", dataCentre: solway, address: \"");
            text.append(addresses.get(i)).append("\"}\n");
        }
        text.append("controlRole:\n  dataFolder: ").append(mFolder.resolve("c" + host));
        return text.append("\n  operatorKeyDigest: ").append(KeyDigest.of(OPERATOR_KEY)).toString();
    }

    @AfterMethod(alwaysRun = true)
    public void removeHosts() throws Exception {
        closeAll();
        MoreFiles.deleteRecursively(mFolder, RecursiveDeleteOption.ALLOW_INSECURE);
    }

    private void closeAll() throws InterruptedException {
        for (HostProcess host : mRunning) {
            host.close();
        }
        mRunning.clear();
    }

    private void start(int host) throws ProxyException {
        mRunning.add(HostProcess.start(mSettings.get(host)));
    }

    private HttpResponse<String> call(int host, String method, String path, String body)
            throws Exception {
        URI uri = URI.create("http://" + mSettings.get(host).adminAddress() + path);
        HttpRequest request =
                HttpRequest.newBuilder(uri)
                        .header("Authorization", "Bearer " + OPERATOR_KEY)
                        .timeout(Duration.ofSeconds(30))
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .build();
        return mHttp.send(request, HttpResponse.BodyHandlers.ofString());
    }

    /** Sends a ticket until it is applied; a resent ticket gets the answer of the first one. */
    private void applyTicket(int host, int number) throws Exception {
        String ticket =
                "ticket: "
                        + number
                        + "\norganisations:\n"
                        + "  - {id: o"
                        + number
                        + ", ratePerSecond: 1, burst: 1}\n";
        long end = System.nanoTime() + TICKET_TIMEOUT_NANOS;
        int status = call(host, "POST", "/v1/tickets", ticket).statusCode();
        while (status != 200 && System.nanoTime() < end) {
            LockSupport.parkNanos(POLL_INTERVAL_NANOS);
            status = call(host, "POST", "/v1/tickets", ticket).statusCode();
        }
        assertEquals(status, 200);
    }

    private String config(int host) throws Exception {
        return call(host, "GET", "/v1/config", "").body();
    }

    @Test
    public void anAcceptedTicketSurvivesTheRestartOfAllHosts() throws Exception {
        for (int i = 0; i < HOST_COUNT; i++) {
            start(i);
        }
        applyTicket(0, 1);
        closeAll();

        for (int i = 0; i < HOST_COUNT; i++) {
            start(i);
        }
        applyTicket(1, 2);

        assertTrue(config(1).contains("\"o1\""), config(1));
    }

    @Test
    public void aSurvivorBecomesTheOnlyVoterAtAnOperatorsRequest() throws Exception {
        for (int i = 0; i < HOST_COUNT; i++) {
            start(i);
        }
        applyTicket(0, 1);
        closeAll();

        int groups = SoleVoterRecovery.makeOnlyVoter(mSettings.get(0));
        start(0);
        applyTicket(0, 2);

        assertEquals(groups, 2);
        assertTrue(config(0).contains("\"o1\""), config(0));
        assertTrue(config(0).contains("\"o2\""), config(0));
    }

    @Test
    public void aRunningOrEmptyHostCannotBecomeTheOnlyVoter() throws Exception {
        var empty =
                expectThrows(
                        ProxyException.class,
                        () -> SoleVoterRecovery.makeOnlyVoter(mSettings.get(0)));
        start(1);
        var inUse =
                expectThrows(
                        ProxyException.class,
                        () -> SoleVoterRecovery.makeOnlyVoter(mSettings.get(1)));

        assertEquals(empty.kind(), ErrorKind.NOT_FOUND);
        assertEquals(inUse.kind(), ErrorKind.SETTINGS_INVALID);
    }
}
