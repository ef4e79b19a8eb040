package org.coltsfootproxy.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.coltsfootproxy.platform.PlatformSimulation.Answer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of accepted batch jobs whose route changes before their items have ended. */
public final class MovedRouteTest {
    private static final long MILLI_NANOS = PlatformSimulation.MILLI_NANOS;
    private static final long SECOND_NANOS = PlatformSimulation.SECOND_NANOS;
    private static final String OLD = PlatformSimulation.LM_SERVICE;
    private static final String NEW = "lm-new";
    private static final int ITEMS = 20;
    private static final int EVENTS = 10;

    /** Time in which an acknowledged configuration is in force at all hosts. */
    private static final long CONFIG_APPLY_NANOS = 2 * SECOND_NANOS;

    private PlatformSimulation mSimulation;

    @BeforeMethod
    public void startSimulation() {
        start(17);
    }

    private void start(long seed) {
        mSimulation = PlatformSimulation.startServing(seed, 2);
        mSimulation.target("new-1", NEW, "z1");
        mSimulation.target("new-2", NEW, "z2");
        for (SimulatedTarget target : mSimulation.mTargets.values()) {
            target.mSlots = 2;
            target.mEventCount = EVENTS;
            target.mEventIntervalNanos = 100 * MILLI_NANOS;
            target.mVersion = "v1";
        }
        configure(SimulatedConfig.configWithJobsAt(2, OLD));
        mSimulation.run(2 * SECOND_NANOS);
    }

    private void configure(String config) {
        Answer answer = mSimulation.callAsOperator("PUT", "/coltsfootproxy/config", config);
        for (int n = 0; n < 100 && answer.mStatus == 0; n++) {
            mSimulation.run(20 * MILLI_NANOS);
        }
        assertEquals(answer.mStatus, 200, answer.toString());
    }

    private void submit(String job, int items) {
        Answer answer = mSimulation.submit(mSimulation.entry(0), job, items);
        mSimulation.run(300 * MILLI_NANOS);
        assertEquals(answer.mStatus, 202, answer.toString());
    }

    private Stream<SimulatedTarget> targets(String service) {
        return mSimulation.mTargets.values().stream().filter(t -> t.mService.equals(service));
    }

    private Stream<SimulatedTarget.Run> arrivals(String service) {
        return targets(service).flatMap(target -> target.mArrivals.stream());
    }

    private JsonNode results(String job) {
        Answer answer =
                mSimulation.callJob(
                        mSimulation.entry(1), "GET", "/coltsfootproxy/lots/" + job + "?after=0", 0);
        mSimulation.run(4 * SECOND_NANOS);
        assertEquals(answer.mStatus, 200, answer.toString());
        try {
            return new ObjectMapper().readTree(answer.body()).path("results");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static String output(String item, String version) {
        return IntStream.rangeClosed(1, EVENTS)
                .mapToObj(n -> item + "-" + n + "@" + version)
                .collect(Collectors.joining("\n"));
    }

    private void assertAllComplete(String job, int items, String... versions) {
        JsonNode results = results(job);
        assertEquals(results.size(), items);
        for (JsonNode result : results) {
            String id = result.path("id").asText();
            String text = result.path("output").asText();
            assertEquals(result.path("state").asText(), "complete", id);
            assertTrue(
                    Stream.of(versions).anyMatch(v -> text.equals(output(id, v))),
                    id + ": " + text);
        }
    }

    /** Guards against accepted items that never run because their route has moved (review/8). */
    @Test
    public void itemsOfAMovedRouteRunAtTheNewServiceOnceTheFormerTargetsHaveLeft() {
        submit("j1", ITEMS);
        configure(SimulatedConfig.configWithJobsAt(3, NEW));
        mSimulation.run(CONFIG_APPLY_NANOS);
        targets(OLD).forEach(target -> target.mIsDraining = true);
        mSimulation.run(4 * SECOND_NANOS);
        targets(OLD).toList().forEach(t -> mSimulation.mTargets.remove(t.mAddress));
        mSimulation.run(15 * SECOND_NANOS);

        assertAllComplete("j1", ITEMS, "v1");
    }

    /** Guards against items that go on being sent to the service that their route has left. */
    @Test
    public void itemsThatWaitWhenTheirRouteMovesRunAtTheNewServiceThoughTheFormerOneServes() {
        submit("j1", 60);
        configure(SimulatedConfig.configWithJobsAt(3, NEW));
        mSimulation.run(CONFIG_APPLY_NANOS);
        long movedAt = mSimulation.now();
        mSimulation.run(30 * SECOND_NANOS);

        List<SimulatedTarget.Run> late =
                arrivals(OLD).filter(run -> run.mArrivalNanos > movedAt).toList();
        assertEquals(late.size(), 0, "sent to the former service after the move");
        assertAllComplete("j1", 60, "v1");
    }

    /** Guards against items that are sent to the former service by hosts that were restarted. */
    @Test
    public void aMoveWhileTheStoresAreDownHoldsForTheItemsThatTheyRecover() {
        submit("j1", 40);
        IntStream.range(0, 4).forEach(n -> mSimulation.fleet().crash(mSimulation.store(n)));
        configure(SimulatedConfig.configWithJobsAt(3, NEW));
        mSimulation.run(CONFIG_APPLY_NANOS);
        long movedAt = mSimulation.now();
        IntStream.range(0, 4).forEach(n -> mSimulation.startStore(mSimulation.store(n)));
        mSimulation.run(30 * SECOND_NANOS);

        assertEquals(arrivals(OLD).filter(run -> run.mArrivalNanos > movedAt).count(), 0);
        assertAllComplete("j1", 40, "v1");
    }

    /** Guards against items that are never run because their route has moved more than once. */
    @Test
    public void itemsOfARouteThatMovesBackRunAtTheFirstServiceAgain() {
        submit("j1", 60);
        configure(SimulatedConfig.configWithJobsAt(3, NEW));
        mSimulation.run(2 * SECOND_NANOS);
        configure(SimulatedConfig.configWithJobsAt(4, OLD));
        mSimulation.run(CONFIG_APPLY_NANOS);
        long movedAt = mSimulation.now();
        mSimulation.run(30 * SECOND_NANOS);

        assertEquals(arrivals(NEW).filter(run -> run.mArrivalNanos > movedAt).count(), 0);
        assertAllComplete("j1", 60, "v1");
    }

    /** Guards against items that are run by a service whose weight has become 0. */
    @Test
    public void itemsOfAServiceThatGetsNoShareAnyMoreRunAtOneThatGetsAll() {
        submit("j1", 60);
        configure(SimulatedConfig.configWithJobsSplit(3, OLD, 0, NEW, 100));
        mSimulation.run(CONFIG_APPLY_NANOS);
        long movedAt = mSimulation.now();
        mSimulation.run(30 * SECOND_NANOS);

        assertEquals(arrivals(OLD).filter(run -> run.mArrivalNanos > movedAt).count(), 0);
        assertAllComplete("j1", 60, "v1");
    }

    /** Guards against output that is joined from the text of two services. */
    @Test
    public void outputThatTheFormerServiceHasBegunIsNotContinuedAtTheNewOne() {
        submit("j1", 4);
        mSimulation.run(300 * MILLI_NANOS);
        configure(SimulatedConfig.configWithJobsAt(3, NEW));
        mSimulation.run(200 * MILLI_NANOS);
        targets(OLD).toList().forEach(SimulatedTarget::crash);
        mSimulation.run(15 * SECOND_NANOS);

        assertTrue(arrivals(NEW).count() >= 4);
        assertTrue(arrivals(NEW).allMatch(run -> run.mResumeAfter == 0));
        assertAllComplete("j1", 4, "v1");
    }

    /**
     * Guards against joined output if the store that began an item is lost with the old targets.
     */
    @Test
    public void recordedOutputOfTheFormerServiceIsNotContinuedAtTheNewOne() {
        targets(OLD).forEach(target -> target.mEventIntervalNanos = 600 * MILLI_NANOS);
        submit("j1", 4);
        mSimulation.run(3 * SECOND_NANOS);
        IntStream.range(0, 4).forEach(n -> mSimulation.fleet().crash(mSimulation.store(n)));
        configure(SimulatedConfig.configWithJobsAt(3, NEW));
        IntStream.range(0, 4).forEach(n -> mSimulation.startStore(mSimulation.store(n)));
        mSimulation.run(20 * SECOND_NANOS);

        assertTrue(arrivals(NEW).count() >= 4);
        assertTrue(arrivals(NEW).allMatch(run -> run.mResumeAfter == 0));
        assertAllComplete("j1", 4, "v1");
    }

    /** Guards against recorded output of the second service that the first one continues. */
    @Test
    public void recordedOutputOfTheSecondServiceIsNotContinuedOnceTheRouteHasMovedBack() {
        targets(NEW).forEach(target -> target.mEventIntervalNanos = 600 * MILLI_NANOS);
        configure(SimulatedConfig.configWithJobsAt(3, OLD));
        targets(OLD).forEach(target -> target.mIsDraining = true);
        mSimulation.run(3 * SECOND_NANOS);
        submit("j1", 4);
        configure(SimulatedConfig.configWithJobsAt(4, NEW));
        mSimulation.run(4 * SECOND_NANOS);
        assertEquals(arrivals(NEW).count(), 4);
        IntStream.range(0, 4).forEach(n -> mSimulation.fleet().crash(mSimulation.store(n)));
        targets(OLD).forEach(target -> target.mIsDraining = false);
        configure(SimulatedConfig.configWithJobsAt(5, OLD));
        IntStream.range(0, 4).forEach(n -> mSimulation.startStore(mSimulation.store(n)));
        mSimulation.run(20 * SECOND_NANOS);

        assertTrue(arrivals(OLD).allMatch(run -> run.mResumeAfter == 0));
        assertAllComplete("j1", 4, "v1");
    }

    /** Guards against items that are run, or stay open for ever, after the end of their route. */
    @Test
    public void itemsOfARemovedRouteAreListedAsErroredAndNoLongerSent() {
        submit("j1", 60);
        configure(SimulatedConfig.configWithoutJobs(3));
        mSimulation.run(CONFIG_APPLY_NANOS);
        long removedAt = mSimulation.now();
        mSimulation.run(15 * SECOND_NANOS);

        assertEquals(arrivals(OLD).filter(run -> run.mArrivalNanos > removedAt).count(), 0);
        JsonNode results = results("j1");
        assertEquals(results.size(), 60);
        long complete = 0;
        for (JsonNode result : results) {
            String id = result.path("id").asText();
            boolean isComplete = result.path("state").asText().equals("complete");
            complete += isComplete ? 1 : 0;
            assertEquals(result.path("output").asText(), isComplete ? output(id, "v1") : "");
        }
        assertTrue(complete > 0 && complete < 60, complete + " items are complete");
    }

    /** Guards against items given up by a store that does not know their route yet. */
    @Test
    public void aStoreThatLagsBehindTheConfigurationDoesNotGiveUpItemsOfANewRoute() {
        configure(SimulatedConfig.configWithoutJobs(3));
        mSimulation.run(3 * SECOND_NANOS);
        for (int n = 4; n < 24; n += 2) {
            configure(SimulatedConfig.configWithJobsAt(n, OLD));
            Answer answer = mSimulation.submit(mSimulation.entry(n / 2 % 2), "j" + n, 2);
            mSimulation.run(3 * SECOND_NANOS);
            if (answer.mStatus == 202) {
                assertAllComplete("j" + n, 2, "v1");
            }
            configure(SimulatedConfig.configWithoutJobs(n + 1));
            mSimulation.run(2 * SECOND_NANOS);
        }
    }

    /** Guards against a resend that is refused, or accepted as another job, after the move. */
    @Test
    public void aJobThatIsSentAgainAfterTheMoveIsTheSameJob() {
        submit("j1", ITEMS);
        configure(SimulatedConfig.configWithJobsAt(3, NEW));
        mSimulation.run(CONFIG_APPLY_NANOS);
        Answer again = mSimulation.submit(mSimulation.entry(1), "j1", ITEMS);
        mSimulation.run(15 * SECOND_NANOS);

        assertEquals(again.mStatus, 202, again.toString());
        assertAllComplete("j1", ITEMS, "v1");
    }
}
