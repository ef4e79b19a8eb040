package org.coltsfootproxy.load;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.fake.FakeTarget;
import org.coltsfootproxy.fake.FakeTargetSettings;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link LoadTool} against a stand-in target that replaces the fleet. */
public final class LoadToolTest {
    private final ByteArrayOutputStream mOut = new ByteArrayOutputStream();
    private FakeTarget mTarget;

    @BeforeMethod
    public void start() throws ProxyException {
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        FakeTargetSettings.Timing fast =
                new FakeTargetSettings.Timing(
                        Duration.ofMillis(2),
                        Duration.ofNanos(100_000),
                        Duration.ofNanos(1000),
                        64,
                        Duration.ZERO,
                        Duration.ZERO);
        mTarget =
                FakeTarget.start(
                        FakeTargetSettings.of(anyPort, FakeTargetSettings.Mode.ENGINE)
                                .withTiming(fast));
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mTarget.close();
    }

    private String yaml(String organisation, String faults) {
        String address = "http://127.0.0.1:" + mTarget.address().getPort();
        return """
                name: direct
                seed: 3
                seconds: 1
                settleSeconds: 20
                maxRequests: 1000
                entries: ["%s"]
                targets: ["%s"]
                organisations:
                  - {id: o, key: secret, ratePerSecond: 1000, burst: 1000}
                online:
                  - {name: s, organisation: "%s", path: /g, answer: stream, repeatable: true,
                     perSecond: 40, maxTokens: 4, prompts: 2,
                     bursts: [{fromSeconds: 0.5, forSeconds: 0.2, factor: 3}]}
                  - {name: w, organisation: "", path: /g, answer: whole, repeatable: false,
                     perSecond: 20, maxTokens: 4, prompts: 2}
                faults: [%s]
                """
                .formatted(address, address, organisation, faults);
    }

    private LoadReport run(String yaml) throws ProxyException {
        return LoadTool.run(LoadScenario.parse(yaml), new PrintStream(mOut, true));
    }

    @Test
    public void aRunWithoutFaultsKeepsAllPromisesAndIsReportedAsHtmlTextAndJson() throws Exception {
        LoadReport report = run(yaml("", ""));

        assertTrue(report.isKept(), report.findings().toString());
        long answered = report.streams().stream().mapToLong(s -> s.answered()).sum();
        long sent = report.streams().stream().mapToLong(s -> s.sent()).sum();
        assertTrue(sent > 20 && answered == sent, answered + " of " + sent);
        Path folder = Files.createTempDirectory("load");
        report.write(folder);
        String page = Files.readString(folder.resolve("report.html"));
        assertTrue(page.contains("<svg") && !page.contains("src=") && !page.contains("href="));
        assertTrue(Files.readString(folder.resolve("report.json")).contains("\"p99\""));
        assertTrue(mOut.toString().contains("in flight"));
    }

    @Test
    public void aKeyThatReachesATargetBreaksAPromise() throws Exception {
        LoadReport report = run(yaml("o", ""));

        assertFalse(report.isKept());
        assertEquals(report.findings().get(0).broken(), List.of("field authorization"));
    }

    @Test
    public void aCutAnswerCountsAsBrokenAndNotAsAnswered() throws Exception {
        String fault =
                "{target: 0, kind: cut, every: 1, delayMillis: 0, fromSeconds: 0, forSeconds: 9}";
        LoadReport report = run(yaml("", fault));

        long broken = report.streams().stream().mapToLong(s -> s.broken()).sum();
        assertTrue(broken > 0);
        assertTrue(report.isKept(), report.findings().toString());
    }

    @Test
    public void arrivalsAreDeterministicForASeedAndFollowTheConfiguredRate() throws Exception {
        LoadScenario scenario =
                LoadScenario.parse(yaml("", "").replace("seconds: 1\n", "seconds: 100\n"));
        List<Arrivals.Arrival> arrivals =
                Arrivals.of(scenario).stream().filter(a -> a.streamIndex() == 1).toList();

        assertEquals(Arrivals.of(scenario), Arrivals.of(scenario));
        // The scenario limits the total to 1,000 requests, a third of which belong to this stream.
        assertTrue(arrivals.size() > 250 && arrivals.size() < 420, "" + arrivals.size());
    }

    @Test
    public void theExampleScenariosAreValid() throws Exception {
        for (String name : List.of("load-coastwatch.yaml", "load-aigaion.yaml")) {
            LoadScenario scenario = LoadScenario.read(Path.of("examples", name));
            assertEquals(scenario.organisations().size(), 8);
            assertTrue(scenario.withoutBatch().jobs().isEmpty());
            assertTrue(scenario.withoutFaults().faults().isEmpty());
        }
    }

    @Test
    public void addressesOtherThanLoopbackAreRejected() {
        String remoteAddress = yaml("", "").replace("127.0.0.1", "10.0.0.1");
        String hostName = yaml("", "").replace("127.0.0.1", "localhost");
        assertThrows(ProxyException.class, () -> LoadScenario.parse(remoteAddress));
        assertThrows(ProxyException.class, () -> LoadScenario.parse(hostName));
    }

    @Test
    public void unknownFieldsUnknownOrganisationsAndExcessiveDurationsAreRejected() {
        assertThrows(ProxyException.class, () -> LoadScenario.parse(yaml("", "") + "speed: 7\n"));
        assertThrows(ProxyException.class, () -> LoadScenario.parse(yaml("nobody", "")));
        assertThrows(
                ProxyException.class,
                () -> LoadScenario.parse(yaml("", "").replace("seconds: 1\n", "seconds: 9999\n")));
    }
}
