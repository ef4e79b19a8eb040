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
import org.coltsfootproxy.platform.PlatformSimulation.Answer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests batch jobs through real nodes and a simulated platform, including the loss of stores. */
public final class FleetJobsTest {
    private static final long MILLI_NANOS = PlatformSimulation.MILLI_NANOS;
    private static final long SECOND_NANOS = PlatformSimulation.SECOND_NANOS;

    private PlatformSimulation mSimulation;

    @BeforeMethod
    public void startSimulation() {
        mSimulation = PlatformSimulation.startServing(11, 2);
    }

    private JsonNode results(HostId entry, String job, int after) {
        Answer answer =
                mSimulation.callJob(
                        entry, "GET", "/coltsfootproxy/lots/" + job + "?after=" + after, 0);
        mSimulation.run(4 * SECOND_NANOS);
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
        JsonNode results = results(mSimulation.entry(1), job, 0);
        assertEquals(results.path("total").asInt(), items);
        assertEquals(results.path("next_token").asInt(), items, results.toString());
        Set<String> seen = new HashSet<>();
        for (JsonNode result : results.path("results")) {
            String id = result.path("id").asText();
            assertTrue(seen.add(id), id + " is listed twice");
            assertEquals(result.path("state").asText(), "complete", id);
            assertEquals(result.path("output").asText(), output(id));
        }
    }

    private void submitAccepted(String job, int items) {
        Answer answer = mSimulation.submit(mSimulation.entry(0), job, items);
        mSimulation.run(SECOND_NANOS);
        assertEquals(answer.mStatus, 202, answer.toString());
    }

    @Test
    public void everyItemIsListedOnceWithItsCompleteOutput() {
        submitAccepted("j1", 20);
        mSimulation.run(5 * SECOND_NANOS);

        assertAllDone("j1", 20);
    }

    @Test
    public void aResubmittedJobIsTheSameJob() {
        submitAccepted("j1", 5);
        Answer again = mSimulation.submit(mSimulation.entry(1), "j1", 5);
        mSimulation.run(5 * SECOND_NANOS);

        assertEquals(again.mStatus, 202);
        assertAllDone("j1", 5);
        IntStream.range(0, 5).forEach(n -> assertEquals(mSimulation.runsOf("j1-i" + n).size(), 1));
    }

    @Test
    public void theResultAtAPositionNeverChanges() {
        submitAccepted("j1", 30);
        mSimulation.run(400 * MILLI_NANOS);
        JsonNode early = results(mSimulation.entry(0), "j1", 0).path("results");
        mSimulation.run(5 * SECOND_NANOS);
        JsonNode late = results(mSimulation.entry(1), "j1", 0).path("results");

        for (int n = 0; n < early.size(); n++) {
            assertEquals(late.get(n), early.get(n));
        }
    }

    @Test
    public void aReadOfResultsWaitsForTheNextResult() {
        mSimulation
                .mTargets
                .values()
                .forEach(target -> target.mEventIntervalNanos = 50 * MILLI_NANOS);
        submitAccepted("j1", 1);
        Answer answer =
                mSimulation.callJob(
                        mSimulation.entry(0), "GET", "/coltsfootproxy/lots/j1?after=1", 1_000);
        mSimulation.run(900 * MILLI_NANOS);

        assertTrue(answer.mIsComplete, "all results are known, so the read must not wait");
        Answer first = mSimulation.submit(mSimulation.entry(0), "j2", 1);
        mSimulation.run(50 * MILLI_NANOS);
        assertEquals(first.mStatus, 202);
        Answer waiting =
                mSimulation.callJob(mSimulation.entry(0), "GET", "/coltsfootproxy/lots/j2", 1_000);
        mSimulation.run(200 * MILLI_NANOS);
        assertEquals(waiting.mIsComplete, false);
        mSimulation.run(900 * MILLI_NANOS);
        assertEquals(parse(waiting.body()).path("next_token").asInt(), 1);
    }

    @Test
    public void anItemWhoseTargetIsLostResumesAfterItsLastEvent() {
        submitAccepted("j1", 12);
        mSimulation.target("lm-1").crash();
        mSimulation.run(6 * SECOND_NANOS);

        assertAllDone("j1", 12);
    }

    /**
     * Guards against an output that is listed as complete before its last event, because the target
     * that was to go on with it crashed as it began.
     */
    @Test
    public void anItemThatItsTargetsConnectionEndsBeforeAnyFurtherEventGoesOnElsewhere() {
        mSimulation.mTargets.values().forEach(target -> target.mCutAtEvent = 4);
        mSimulation.submit(mSimulation.entry(0), "j1", 1);
        runUntilSent("j1-i0", 1);
        for (SimulatedTarget target : mSimulation.mTargets.values()) {
            boolean isFirst = !target.mRuns.isEmpty();
            target.mCutAtEvent = isFirst ? 4 : 0;
            target.mClosesAtEvent = isFirst ? 0 : 4;
        }
        runUntilSent("j1-i0", 2);
        SimulatedTarget.Run second = mSimulation.runsOf("j1-i0").get(1);
        mSimulation.mTargets.values().stream()
                .filter(target -> !target.mRuns.contains(second))
                .forEach(target -> target.mClosesAtEvent = 0);
        mSimulation.run(5 * SECOND_NANOS);

        assertAllDone("j1", 1);
        assertEquals(mSimulation.runsOf("j1-i0").get(2).mResumeAfter, 3);
    }

    @DataProvider
    Object[][] eventsThatDoNotFollowTheThird() {
        return new Object[][] {{1}, {3}, {5}};
    }

    /** Guards against events that stand twice, or are missing, where an item goes on elsewhere. */
    @Test(dataProvider = "eventsThatDoNotFollowTheThird")
    public void anItemThatIsResumedAtTheWrongEventGoesOnElsewhere(int event) {
        mSimulation.mTargets.values().forEach(target -> target.mCutAtEvent = 4);
        mSimulation.submit(mSimulation.entry(0), "j1", 1);
        runUntilSent("j1-i0", 1);
        for (SimulatedTarget target : mSimulation.mTargets.values()) {
            target.mResumesAt = event;
            target.mCutAtEvent = target.mRuns.isEmpty() ? 0 : 4;
        }
        runUntilSent("j1-i0", 2);
        mSimulation.mTargets.values().forEach(target -> target.mResumesAt = 0);
        mSimulation.run(5 * SECOND_NANOS);

        assertAllDone("j1", 1);
    }

    /** Guards against an output that an answer without any event ends as complete. */
    @Test
    public void anItemThatIsAnsweredWithoutAStreamGoesOnElsewhere() {
        mSimulation.mTargets.values().forEach(target -> target.mCutAtEvent = 4);
        mSimulation.submit(mSimulation.entry(0), "j1", 1);
        runUntilSent("j1-i0", 1);
        for (SimulatedTarget target : mSimulation.mTargets.values()) {
            target.mCutAtEvent = target.mRuns.isEmpty() ? 0 : 4;
            target.mIsPlain = target.mRuns.isEmpty();
            target.mPlainBody = "";
        }
        runUntilSent("j1-i0", 2);
        mSimulation.mTargets.values().forEach(target -> target.mIsPlain = false);
        mSimulation.run(5 * SECOND_NANOS);

        assertAllDone("j1", 1);
    }

    /** Guards against lines in an output that no event has sent. */
    @Test
    public void commentsBetweenEventsAddNothingToAnItemsOutput() {
        for (SimulatedTarget target : mSimulation.mTargets.values()) {
            target.mFiller = ": still here\n\n";
            target.mFillerFrom = 4;
        }
        mSimulation.submit(mSimulation.entry(0), "j1", 1);
        runUntilSent("j1-i0", 1);
        mSimulation.mTargets.values().stream()
                .filter(target -> target.mRuns.isEmpty())
                .forEach(target -> target.mFiller = "");
        mSimulation.run(8 * SECOND_NANOS);

        assertAllDone("j1", 1);
    }

    /** Guards against an output with line feeds that are no part of any event's data. */
    @Test
    public void commentsBetweenEventsAreNoPartOfTheOutput() {
        for (SimulatedTarget target : mSimulation.mTargets.values()) {
            target.mFiller = ": still here\n\n";
            target.mFillerFrom = 4;
        }
        submitAccepted("j1", 2);
        mSimulation.mTargets.values().forEach(target -> target.mFiller = "");
        mSimulation.run(5 * SECOND_NANOS);

        assertAllDone("j1", 2);
    }

    private void runUntilSent(String item, int runs) {
        for (int n = 0; n < 1_000 && mSimulation.runsOf(item).size() < runs; n++) {
            mSimulation.run(5 * MILLI_NANOS);
        }
        assertEquals(mSimulation.runsOf(item).size(), runs);
    }

    @Test
    public void anItemThatFailsPermanentlyIsListedAsErrored() {
        mSimulation.mTargets.values().forEach(target -> target.mErrorStatus = 422);
        submitAccepted("j1", 2);
        mSimulation.run(3 * SECOND_NANOS);

        JsonNode results = results(mSimulation.entry(0), "j1", 0).path("results");
        assertEquals(results.size(), 2);
        results.forEach(result -> assertEquals(result.path("state").asText(), "errored"));
        assertEquals(mSimulation.runsOf("j1-i0").size(), 1);
    }

    @Test
    public void anItemFailsAfterAsManyAttemptsAsItsRouteAllows() {
        mSimulation.mTargets.values().forEach(target -> target.mErrorStatus = 500);
        submitAccepted("j1", 1);
        mSimulation.run(10 * SECOND_NANOS);

        JsonNode results = results(mSimulation.entry(0), "j1", 0).path("results");
        assertEquals(results.get(0).path("state").asText(), "errored");
        assertEquals(mSimulation.runsOf("j1-i0").size(), 3);
    }

    @Test
    public void theBodyOfAnItemIsReadableUntilItHasAResult() {
        mSimulation
                .mTargets
                .values()
                .forEach(target -> target.mEventIntervalNanos = 100 * MILLI_NANOS);
        submitAccepted("j1", 1);
        String path = "/coltsfootproxy/items/j1?id=j1-i0";
        Answer early = mSimulation.callJob(mSimulation.entry(1), "GET", path, 0);
        mSimulation.run(5 * SECOND_NANOS);
        Answer late = mSimulation.callJob(mSimulation.entry(1), "GET", path, 0);
        mSimulation.run(SECOND_NANOS);

        assertEquals(early.body(), "body of j1-i0");
        assertEquals(late.mStatus, 404);
    }

    @Test
    public void aCancelledJobRunsNoFurtherItem() {
        mSimulation
                .mTargets
                .values()
                .forEach(target -> target.mEventIntervalNanos = 100 * MILLI_NANOS);
        submitAccepted("j1", 100);
        Answer end =
                mSimulation.callJob(mSimulation.entry(0), "DELETE", "/coltsfootproxy/lots/j1", 0);
        mSimulation.run(SECOND_NANOS);
        Answer again =
                mSimulation.callJob(mSimulation.entry(1), "DELETE", "/coltsfootproxy/lots/j1", 0);
        mSimulation.run(SECOND_NANOS);
        int runs =
                mSimulation.target("lm-1").mRuns.size() + mSimulation.target("lm-2").mRuns.size();
        mSimulation.run(5 * SECOND_NANOS);

        assertEquals(end.mStatus, 200);
        assertEquals(again.mStatus, 200);
        assertEquals(
                mSimulation.target("lm-1").mRuns.size() + mSimulation.target("lm-2").mRuns.size(),
                runs);
        assertEquals(
                mSimulation.target("lm-1").running() + mSimulation.target("lm-2").running(), 0);
    }

    @Test
    public void aJobSurvivesTheLossOfAnyOneStoreWithItsDisk() {
        for (int n = 0; n < 4; n++) {
            mSimulation = PlatformSimulation.startServing(20 + n, 2);
            submitAccepted("j1", 20);
            HostId lost = mSimulation.store(n);
            mSimulation.fleet().crash(lost);
            mSimulation.loseDisk(lost);
            mSimulation.run(2 * SECOND_NANOS);
            mSimulation.startStore(lost);
            mSimulation.run(15 * SECOND_NANOS);
            assertAllDone("j1", 20);
        }
    }

    @Test
    public void aJobSurvivesACrashOfAllStoresAtOnceIfTheirDisksRemain() {
        submitAccepted("j1", 20);
        restartAllStores();
        mSimulation.run(15 * SECOND_NANOS);

        assertAllDone("j1", 20);
    }

    @Test
    public void itemsOfALostStoreResumeAfterTheirRecordedEvents() {
        for (int n = 0; n < 4; n++) {
            mSimulation = PlatformSimulation.startServing(40 + n, 2);
            mSimulation
                    .mTargets
                    .values()
                    .forEach(target -> target.mEventIntervalNanos = 400 * MILLI_NANOS);
            submitAccepted("j1", 8);
            mSimulation.run(1_500 * MILLI_NANOS);
            mSimulation.fleet().crash(mSimulation.store(n));
            mSimulation.run(20 * SECOND_NANOS);
            assertAllDone("j1", 8);
            assertEquals(runsFromTheStart(), 8, "store " + n);
        }
    }

    @Test
    public void itemsResumeAfterTheirRecordedEventsOnceAllStoresHaveRestarted() {
        mSimulation
                .mTargets
                .values()
                .forEach(target -> target.mEventIntervalNanos = 400 * MILLI_NANOS);
        submitAccepted("j1", 8);
        mSimulation.run(1_500 * MILLI_NANOS);
        restartAllStores();
        mSimulation.run(20 * SECOND_NANOS);
        assertAllDone("j1", 8);
        assertEquals(runsFromTheStart(), 8);
    }

    @Test
    public void aLostStoreCausesNoRerunOfItemsAtOtherStores() {
        for (int n = 0; n < 4; n++) {
            mSimulation = PlatformSimulation.startServing(60 + n, 2);
            mSimulation
                    .mTargets
                    .values()
                    .forEach(target -> target.mEventIntervalNanos = 450 * MILLI_NANOS);
            submitAccepted("j1", 8);
            mSimulation.run(1_500 * MILLI_NANOS);
            HostId lost = mSimulation.store(n);
            Set<String> kept =
                    runs().filter(run -> !run.mHost.equals(lost))
                            .map(run -> run.mRequest)
                            .collect(Collectors.toSet());
            mSimulation.fleet().crash(lost);
            mSimulation.run(20 * SECOND_NANOS);
            assertAllDone("j1", 8);
            assertTrue(kept.size() >= 4, "items that ran at other stores: " + kept);
            assertEquals(
                    runs().filter(run -> kept.contains(run.mRequest)).count(),
                    kept.size(),
                    "store " + n);
        }
    }

    /** Crashes all stores and restarts them with their disks. */
    private void restartAllStores() {
        for (int n = 0; n < 4; n++) {
            mSimulation.fleet().crash(mSimulation.store(n));
        }
        mSimulation.run(SECOND_NANOS);
        for (int n = 0; n < 4; n++) {
            mSimulation.startStore(mSimulation.store(n));
        }
    }

    private Stream<SimulatedTarget.Run> runs() {
        return mSimulation.mTargets.values().stream().flatMap(target -> target.mRuns.stream());
    }

    private long runsFromTheStart() {
        return runs().filter(run -> run.mResumeAfter == 0).count();
    }

    @Test
    public void storesMayBeLostOneAfterAnotherWithARepairInBetween() {
        submitAccepted("j1", 20);
        for (int n = 0; n < 3; n++) {
            HostId lost = mSimulation.store(n);
            mSimulation.fleet().crash(lost);
            mSimulation.loseDisk(lost);
            mSimulation.run(2 * SECOND_NANOS);
            mSimulation.startStore(lost);
            mSimulation.run(8 * SECOND_NANOS);
        }
        mSimulation.run(5 * SECOND_NANOS);

        assertAllDone("j1", 20);
    }

    @Test
    public void aStoreAtANewAddressReplacesALostOne() {
        submitAccepted("j1", 20);
        mSimulation.fleet().crash(mSimulation.store(0));
        mSimulation.startStore(PlatformSimulation.host(1, 9));
        mSimulation.run(10 * SECOND_NANOS);
        mSimulation.fleet().crash(mSimulation.store(1));
        mSimulation.run(10 * SECOND_NANOS);

        assertAllDone("j1", 20);
    }

    @Test
    public void aRetiredStoreIsDrainedAndThenNotNeeded() {
        submitAccepted("j1", 20);
        String path = "/coltsfootproxy/retire/name-of-" + mSimulation.store(0);
        Answer retirement = mSimulation.callAsOperator("POST", path, "{\"duration_s\":10}");
        mSimulation.run(8 * SECOND_NANOS);
        Answer state = mSimulation.callAsOperator(mSimulation.control(1), "GET", path, "");
        mSimulation.run(SECOND_NANOS);
        assertEquals(retirement.mStatus, 200, retirement.toString());
        assertEquals(state.body(), "{\"state\":\"complete\"}");

        mSimulation.fleet().crash(mSimulation.store(0));
        mSimulation.fleet().crash(mSimulation.store(1));
        mSimulation.run(10 * SECOND_NANOS);
        assertAllDone("j1", 20);
    }

    @Test
    public void aRetirementIsRefusedIfTooFewStoresWouldRemain() {
        String path = "/coltsfootproxy/retire/name-of-";
        mSimulation.callAsOperator("POST", path + mSimulation.store(0), "{}");
        mSimulation.run(8 * SECOND_NANOS);
        Answer second = mSimulation.callAsOperator("POST", path + mSimulation.store(1), "{}");
        Answer unknown = mSimulation.callAsOperator("POST", path + "nobody", "{}");
        mSimulation.run(SECOND_NANOS);

        assertEquals(second.mStatus, 409, second.toString());
        assertEquals(unknown.mStatus, 404, unknown.toString());
    }

    @Test
    public void anUnknownJobIsNotFoundEvenIfAStoreWithoutTheLogIsAsked() {
        for (int n = 0; n < 20; n++) {
            Answer unknown =
                    mSimulation.callJob(
                            mSimulation.entry(n % 2), "GET", "/coltsfootproxy/lots/none" + n, 0);
            mSimulation.run(SECOND_NANOS);
            assertEquals(unknown.mStatus, 404, unknown.toString());
        }
    }

    /** Guards against items that keep the output of a target that sends events without end. */
    @Test
    public void anItemWhoseTargetSendsEventsWithoutEndRunsFromItsStartElsewhere() {
        SimulatedTarget faulty = mSimulation.target("lm-1");
        faulty.mIsEndless = true;
        faulty.mPaddingBytes = 64 << 10;
        submitAccepted("j1", 4);
        mSimulation.run(20 * SECOND_NANOS);

        assertTrue(faulty.mRuns.size() > 0);
        assertAllDone("j1", 4);
    }
}
