package org.coltsfootproxy.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.platform.PlatformWorld.Answer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Batch jobs over the whole path on a stand-in of the platform, with stores that are lost. */
public final class FleetJobsTest {
    private static final long MILLI = PlatformWorld.MILLI;
    private static final long SECOND = PlatformWorld.SECOND;

    private PlatformWorld mWorld;

    @BeforeMethod
    public void begin() {
        mWorld = PlatformWorld.serving(11, 2);
    }

    private JsonNode results(HostId entry, String job, int after) {
        Answer answer =
                mWorld.job(entry, "GET", "/coltsfootproxy/lots/" + job + "?after=" + after, 0);
        mWorld.run(4 * SECOND);
        assertEquals(answer.mStatus, 200, answer.toString());
        return parse(answer.body());
    }

    private static JsonNode parse(String json) {
        try {
            return new ObjectMapper().readTree(json);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String output(String item) {
        return IntStream.rangeClosed(1, 10)
                .mapToObj(n -> item + "-" + n)
                .collect(Collectors.joining("\n"));
    }

    private void assertAllDone(String job, int items) {
        JsonNode results = results(mWorld.entry(1), job, 0);
        assertEquals(results.path("total").asInt(), items);
        assertEquals(results.path("next_token").asInt(), items, results.toString());
        Set<String> seen = new HashSet<>();
        for (JsonNode result : results.path("results")) {
            String id = result.path("id").asText();
            assertTrue(seen.add(id), id + " stands twice");
            assertEquals(result.path("state").asText(), "complete", id);
            assertEquals(result.path("output").asText(), output(id));
        }
    }

    private void accept(String job, int items) {
        Answer answer = mWorld.submit(mWorld.entry(0), job, items);
        mWorld.run(SECOND);
        assertEquals(answer.mStatus, 202, answer.toString());
    }

    @Test
    public void everyItemIsListedOnceWithItsWholeOutput() {
        accept("j1", 20);
        mWorld.run(5 * SECOND);

        assertAllDone("j1", 20);
    }

    @Test
    public void aJobThatIsSentAgainIsTheSameJob() {
        accept("j1", 5);
        Answer again = mWorld.submit(mWorld.entry(1), "j1", 5);
        mWorld.run(5 * SECOND);

        assertEquals(again.mStatus, 202);
        assertAllDone("j1", 5);
        IntStream.range(0, 5).forEach(n -> assertEquals(mWorld.runsOf("j1-i" + n).size(), 1));
    }

    @Test
    public void aPositionNeverChangesWhatItHolds() {
        accept("j1", 30);
        mWorld.run(400 * MILLI);
        JsonNode early = results(mWorld.entry(0), "j1", 0).path("results");
        mWorld.run(5 * SECOND);
        JsonNode late = results(mWorld.entry(1), "j1", 0).path("results");

        for (int n = 0; n < early.size(); n++) {
            assertEquals(late.get(n), early.get(n));
        }
    }

    @Test
    public void aReaderWaitsForTheNextResult() {
        mWorld.mEngines.values().forEach(engine -> engine.mEventNanos = 50 * MILLI);
        accept("j1", 1);
        Answer answer =
                mWorld.job(mWorld.entry(0), "GET", "/coltsfootproxy/lots/j1?after=1", 1_000);
        mWorld.run(900 * MILLI);

        assertTrue(answer.mIsWhole, "no result can come any more, so there is nothing to wait for");
        Answer first = mWorld.submit(mWorld.entry(0), "j2", 1);
        mWorld.run(50 * MILLI);
        assertEquals(first.mStatus, 202);
        Answer waiting = mWorld.job(mWorld.entry(0), "GET", "/coltsfootproxy/lots/j2", 1_000);
        mWorld.run(200 * MILLI);
        assertEquals(waiting.mIsWhole, false);
        mWorld.run(900 * MILLI);
        assertEquals(parse(waiting.body()).path("next_token").asInt(), 1);
    }

    @Test
    public void anItemWhoseEngineIsLostGoesOnAfterItsLastEvent() {
        accept("j1", 12);
        mWorld.engine("lm-1").crash();
        mWorld.run(6 * SECOND);

        assertAllDone("j1", 12);
    }

    @Test
    public void anItemThatCanNeverBeDoneIsListedAsErrored() {
        mWorld.mEngines.values().forEach(engine -> engine.mStatus = 422);
        accept("j1", 2);
        mWorld.run(3 * SECOND);

        JsonNode results = results(mWorld.entry(0), "j1", 0).path("results");
        assertEquals(results.size(), 2);
        results.forEach(result -> assertEquals(result.path("state").asText(), "errored"));
        assertEquals(mWorld.runsOf("j1-i0").size(), 1);
    }

    @Test
    public void anItemIsGivenUpAfterAsManyFailuresAsItsRouteAllows() {
        mWorld.mEngines.values().forEach(engine -> engine.mStatus = 500);
        accept("j1", 1);
        mWorld.run(10 * SECOND);

        JsonNode results = results(mWorld.entry(0), "j1", 0).path("results");
        assertEquals(results.get(0).path("state").asText(), "errored");
        assertEquals(mWorld.runsOf("j1-i0").size(), 3);
    }

    @Test
    public void theBodyOfAnItemIsShownUntilItsResultIs() {
        mWorld.mEngines.values().forEach(engine -> engine.mEventNanos = 100 * MILLI);
        accept("j1", 1);
        String path = "/coltsfootproxy/items/j1?id=j1-i0";
        Answer early = mWorld.job(mWorld.entry(1), "GET", path, 0);
        mWorld.run(5 * SECOND);
        Answer late = mWorld.job(mWorld.entry(1), "GET", path, 0);
        mWorld.run(SECOND);

        assertEquals(early.body(), "body of j1-i0");
        assertEquals(late.mStatus, 404);
    }

    @Test
    public void anEndedJobRunsNoFurtherItem() {
        mWorld.mEngines.values().forEach(engine -> engine.mEventNanos = 100 * MILLI);
        accept("j1", 100);
        Answer end = mWorld.job(mWorld.entry(0), "DELETE", "/coltsfootproxy/lots/j1", 0);
        mWorld.run(SECOND);
        Answer again = mWorld.job(mWorld.entry(1), "DELETE", "/coltsfootproxy/lots/j1", 0);
        mWorld.run(SECOND);
        int runs = mWorld.engine("lm-1").mRuns.size() + mWorld.engine("lm-2").mRuns.size();
        mWorld.run(5 * SECOND);

        assertEquals(end.mStatus, 200);
        assertEquals(again.mStatus, 200);
        assertEquals(mWorld.engine("lm-1").mRuns.size() + mWorld.engine("lm-2").mRuns.size(), runs);
        assertEquals(mWorld.engine("lm-1").running() + mWorld.engine("lm-2").running(), 0);
    }

    @Test
    public void aJobSurvivesTheLossOfAnyOneStoreWithItsDisk() {
        for (int n = 0; n < 4; n++) {
            mWorld = PlatformWorld.serving(20 + n, 2);
            accept("j1", 20);
            HostId lost = mWorld.store(n);
            mWorld.fleet().crash(lost);
            mWorld.loseDisk(lost);
            mWorld.run(2 * SECOND);
            mWorld.startStore(lost);
            mWorld.run(15 * SECOND);
            assertAllDone("j1", 20);
        }
    }

    @Test
    public void aJobSurvivesTheLossOfAllStoresAtOnceIfTheirDisksRemain() {
        accept("j1", 20);
        restartAllStores();
        mWorld.run(15 * SECOND);

        assertAllDone("j1", 20);
    }

    @Test
    public void itemsOfALostStoreGoOnAfterWhatTheyHadMade() {
        for (int n = 0; n < 4; n++) {
            mWorld = PlatformWorld.serving(40 + n, 2);
            mWorld.mEngines.values().forEach(engine -> engine.mEventNanos = 400 * MILLI);
            accept("j1", 8);
            mWorld.run(1_500 * MILLI);
            mWorld.fleet().crash(mWorld.store(n));
            mWorld.run(20 * SECOND);
            assertAllDone("j1", 8);
            assertEquals(runsFromTheStart(), 8, "store " + n);
        }
    }

    @Test
    public void itemsGoOnAfterWhatTheyHadMadeWhenAllStoresWereLost() {
        mWorld.mEngines.values().forEach(engine -> engine.mEventNanos = 400 * MILLI);
        accept("j1", 8);
        mWorld.run(1_500 * MILLI);
        restartAllStores();
        mWorld.run(20 * SECOND);
        assertAllDone("j1", 8);
        assertEquals(runsFromTheStart(), 8);
    }

    @Test
    public void aLostStoreDoesNotMakeTheItemsOfOthersRunAgain() {
        for (int n = 0; n < 4; n++) {
            mWorld = PlatformWorld.serving(60 + n, 2);
            mWorld.mEngines.values().forEach(engine -> engine.mEventNanos = 450 * MILLI);
            accept("j1", 8);
            mWorld.run(1_500 * MILLI);
            HostId lost = mWorld.store(n);
            Set<String> kept =
                    runs().filter(run -> !run.mHost.equals(lost))
                            .map(run -> run.mRequest)
                            .collect(Collectors.toSet());
            mWorld.fleet().crash(lost);
            mWorld.run(20 * SECOND);
            assertAllDone("j1", 8);
            assertTrue(kept.size() >= 4, "items at other stores: " + kept);
            assertEquals(
                    runs().filter(run -> kept.contains(run.mRequest)).count(),
                    kept.size(),
                    "store " + n);
        }
    }

    /** All stores are killed and come back with their disks. */
    private void restartAllStores() {
        for (int n = 0; n < 4; n++) {
            mWorld.fleet().crash(mWorld.store(n));
        }
        mWorld.run(SECOND);
        for (int n = 0; n < 4; n++) {
            mWorld.startStore(mWorld.store(n));
        }
    }

    private Stream<FakeEngine.Run> runs() {
        return mWorld.mEngines.values().stream().flatMap(engine -> engine.mRuns.stream());
    }

    private long runsFromTheStart() {
        return runs().filter(run -> run.mFrom == 0).count();
    }

    @Test
    public void afterARepairTheNextStoreMayBeLost() {
        accept("j1", 20);
        for (int n = 0; n < 3; n++) {
            HostId lost = mWorld.store(n);
            mWorld.fleet().crash(lost);
            mWorld.loseDisk(lost);
            mWorld.run(2 * SECOND);
            mWorld.startStore(lost);
            mWorld.run(8 * SECOND);
        }
        mWorld.run(5 * SECOND);

        assertAllDone("j1", 20);
    }

    @Test
    public void aStoreAtAnotherAddressTakesThePlaceOfALostOne() {
        accept("j1", 20);
        mWorld.fleet().crash(mWorld.store(0));
        mWorld.startStore(PlatformWorld.host(1, 9));
        mWorld.run(10 * SECOND);
        mWorld.fleet().crash(mWorld.store(1));
        mWorld.run(10 * SECOND);

        assertAllDone("j1", 20);
    }

    @Test
    public void aRetiredStoreIsEmptiedAndThenNotNeeded() {
        accept("j1", 20);
        String path = "/coltsfootproxy/retire/name-of-" + mWorld.store(0);
        Answer order = mWorld.operate("POST", path, "{\"duration_s\":10}");
        mWorld.run(8 * SECOND);
        Answer state = mWorld.operate(mWorld.control(1), "GET", path, "");
        mWorld.run(SECOND);
        assertEquals(order.mStatus, 200, order.toString());
        assertEquals(state.body(), "{\"state\":\"complete\"}");

        mWorld.fleet().crash(mWorld.store(0));
        mWorld.fleet().crash(mWorld.store(1));
        mWorld.run(10 * SECOND);
        assertAllDone("j1", 20);
    }

    @Test
    public void aStoreIsNotRetiredIfTooFewWouldBeLeft() {
        String path = "/coltsfootproxy/retire/name-of-";
        mWorld.operate("POST", path + mWorld.store(0), "{}");
        mWorld.run(8 * SECOND);
        Answer second = mWorld.operate("POST", path + mWorld.store(1), "{}");
        Answer unknown = mWorld.operate("POST", path + "nobody", "{}");
        mWorld.run(SECOND);

        assertEquals(second.mStatus, 409, second.toString());
        assertEquals(unknown.mStatus, 404, unknown.toString());
    }

    @Test
    public void aJobIsNotLostByAnEntryThatAsksAStoreWithoutTheLog() {
        for (int n = 0; n < 20; n++) {
            Answer unknown =
                    mWorld.job(mWorld.entry(n % 2), "GET", "/coltsfootproxy/lots/none" + n, 0);
            mWorld.run(SECOND);
            assertEquals(unknown.mStatus, 404, unknown.toString());
        }
    }
}
