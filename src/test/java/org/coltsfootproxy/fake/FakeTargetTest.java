package org.coltsfootproxy.fake;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.coltsfootproxy.base.ProxyException;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests {@link FakeTarget} and the parts of its simulated engine. */
public final class FakeTargetTest {
    private static final FakeTargetSettings.Timing FAST =
            new FakeTargetSettings.Timing(
                    Duration.ofMillis(2),
                    Duration.ofNanos(100_000),
                    Duration.ofNanos(1000),
                    4,
                    Duration.ZERO,
                    Duration.ZERO);

    private final HttpClient mHttp = HttpClient.newHttpClient();
    private FakeTarget mTarget;

    @BeforeMethod
    public void start() throws ProxyException {
        mTarget = FakeTarget.start(settings(FakeTargetSettings.Mode.ENGINE));
    }

    private static FakeTargetSettings settings(FakeTargetSettings.Mode mode) {
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        return FakeTargetSettings.of(anyPort, mode).withTiming(FAST);
    }

    @AfterMethod(alwaysRun = true)
    public void stop() {
        mTarget.close();
    }

    private HttpResponse<String> post(String path, String body)
            throws IOException, InterruptedException {
        URI uri = URI.create("http://127.0.0.1:" + mTarget.address().getPort() + path);
        HttpRequest request =
                HttpRequest.newBuilder(uri)
                        .header("X-Api-Key", "secret")
                        .timeout(Duration.ofSeconds(30))
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build();
        return mHttp.send(request, HttpResponse.BodyHandlers.ofString());
    }

    @Test
    public void anEngineStreamsItsTokensInOrderAndRecordsTheRun() throws Exception {
        String body = post("/generate", "{\"id\":\"r1\",\"max_tokens\":3,\"stream\":true}").body();

        List<String> events = body.lines().filter(l -> !l.isEmpty()).toList();
        assertEquals(events.size(), 4);
        assertTrue(events.get(2).contains("\"index\":2"), body);
        assertEquals(events.get(3), "data: [DONE]");
        RunRecord.Snapshot record = mTarget.record();
        assertEquals(record.runs().get("r1"), Integer.valueOf(1));
        assertEquals(record.completed().get("r1"), Integer.valueOf(1));
        assertEquals(record.keyFields(), Set.of("x-api-key"));
    }

    @Test
    public void aResumedRequestYieldsTheTokensFromItsOffset() throws Exception {
        String complete = post("/g", "{\"id\":\"r\",\"max_tokens\":6}").body();
        String resumed = post("/g", "{\"id\":\"r\",\"max_tokens\":6,\"offset\":4}").body();

        String text = TokenStream.tokenText("r", 4) + TokenStream.tokenText("r", 5);
        assertTrue(resumed.contains('"' + text + '"'), resumed);
        assertTrue(complete.contains(text), complete);
        assertEquals(mTarget.record().doubles(), List.of("r"));
    }

    @Test
    public void timePerTokenGrowsWithTheBatchAndCachedPromptsAreFaster() {
        EngineModel engine = EngineModel.of(FAST);
        engine.joinBatch();
        long alone = engine.tokenNanos();
        engine.joinBatch();
        assertTrue(engine.tokenNanos() > alone);

        String prompt = "x".repeat(256);
        EngineModel.Lookup fresh = engine.lookUpAndCache(prompt);
        EngineModel.Lookup again = engine.lookUpAndCache(prompt);
        assertEquals(again.cachedBlocks(), 4);
        assertTrue(engine.firstTokenNanos(256, again) < engine.firstTokenNanos(256, fresh));
    }

    @Test
    public void thePrefixCacheEvictsTheLeastRecentlyUsedBlocks() {
        EngineModel engine = EngineModel.of(FAST);
        engine.lookUpAndCache("a".repeat(256));
        assertEquals(engine.lookUpAndCache("b".repeat(256)).evicted().size(), 4);
        assertEquals(engine.lookUpAndCache("a".repeat(256)).cachedBlocks(), 0);
    }

    @Test
    public void aPlainServiceCountsTheRunsOfANonIdempotentRequest() throws Exception {
        mTarget.close();
        mTarget = FakeTarget.start(settings(FakeTargetSettings.Mode.PLAIN));
        post("/swaps", "{\"id\":\"swap-1\"}");
        assertTrue(post("/swaps", "{\"id\":\"swap-1\"}").body().contains("\"runs\":2"));
        assertEquals(mTarget.record().doubles(), List.of("swap-1"));
    }

    @Test
    public void faultsAreInjectedOnDemand() throws Exception {
        String request = "{\"id\":\"r\",\"max_tokens\":4}";
        mTarget.setFault(Fault.always(Fault.Kind.CUT));
        assertThrows(IOException.class, () -> post("/g", request));
        mTarget.setFault(Fault.always(Fault.Kind.REFUSE));
        assertThrows(IOException.class, () -> post("/g", request));
        assertEquals(post("/__fault?kind=error&every=1", "").statusCode(), 200);
        assertEquals(post("/g", request).statusCode(), 500);
        assertEquals(post("/__fault?kind=nonsense", "").statusCode(), 400);
        post("/__fault?kind=none", "");
        assertEquals(post("/g", request).statusCode(), 200);
        assertFalse(mTarget.record().completed().isEmpty());
    }

    @Test
    public void onlyAnEngineWithFencingRefusesAnOutdatedOrder() {
        Orders fenced = new Orders(true);
        Orders unfenced = new Orders(false);
        Orders.State later = new Orders.State(5, "m2", "decode");
        Orders.State earlier = new Orders.State(4, "m1", "decode");
        assertTrue(fenced.apply(later) && unfenced.apply(later));

        assertFalse(fenced.apply(earlier));
        assertEquals(fenced.state(), later);
        assertTrue(unfenced.apply(earlier));
        assertEquals(unfenced.state(), earlier);
    }

    @Test
    public void anImpossibleItemIsAlwaysRejected() throws Exception {
        assertEquals(post("/g", "{\"id\":\"i\",\"impossible\":true}").statusCode(), 422);
    }

    @Test
    public void loadAndCacheEventsAreDelayed() {
        FakeTargetSettings.Timing lagging =
                new FakeTargetSettings.Timing(
                        Duration.ZERO,
                        Duration.ZERO,
                        Duration.ZERO,
                        100,
                        Duration.ofNanos(50),
                        Duration.ofNanos(50));
        EngineReports reports =
                new EngineReports(settings(FakeTargetSettings.Mode.ENGINE).withTiming(lagging));
        EngineModel engine = EngineModel.of(lagging);
        engine.joinBatch();
        reports.recordCacheChanges(engine.lookUpAndCache("x".repeat(6400)), 100);
        reports.recordLoad(engine, 100);

        assertTrue(reports.events(0, 149).isEmpty());
        assertEquals(reports.load(149).inFlight(), 0);
        assertEquals(reports.load(150).inFlight(), 1);
        int published = reports.events(0, 150).size();
        assertTrue(published > 0 && published < 100, "gaps: " + published);
    }
}
