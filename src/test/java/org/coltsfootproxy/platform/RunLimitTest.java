package org.coltsfootproxy.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Random;
import org.coltsfootproxy.platform.PlatformSimulation.Answer;
import org.testng.annotations.Test;

/** Tests at how many targets one request runs, and until when, as its targets fail. */
public final class RunLimitTest {
    private static final long MILLI_NANOS = PlatformSimulation.MILLI_NANOS;
    private static final long SECOND_NANOS = PlatformSimulation.SECOND_NANOS;
    private static final int TARGETS_OF_EACH_SERVICE = 6;

    /** Maximum number of targets at which a request of a route may run, as configured. */
    private static final Map<String, Integer> MAX_RUNS =
            Map.of("/ask/1", 2, "/swap/1", 1, "/card/1", 2, "/pay/1", 1, "/free/1", 2);

    private static PlatformSimulation startWithManyTargets(long seed) {
        PlatformSimulation simulation = PlatformSimulation.startServing(seed, 2);
        for (int n = 3; n <= TARGETS_OF_EACH_SERVICE; n++) {
            simulation.target("lm-" + n, PlatformSimulation.LM_SERVICE, "z1");
        }
        for (int n = 2; n <= TARGETS_OF_EACH_SERVICE; n++) {
            simulation.target("app-" + n, PlatformSimulation.APP_SERVICE, "z2").mIsPlain = true;
        }
        simulation.run(3 * SECOND_NANOS);
        return simulation;
    }

    /** Guards against streams that go on at more targets than their route's {@code maxTargets}. */
    @Test
    public void aStreamWhoseSecondTargetFailsGoesOnAtNoThirdTarget() {
        PlatformSimulation simulation = startWithManyTargets(7);
        Answer answer = simulation.request(simulation.entry(0), "q1", "/ask/1");
        simulation.run(50 * MILLI_NANOS);
        for (SimulatedTarget target : simulation.mTargets.values()) {
            target.mCutAtEvent = 4;
            target.mErrorStatus = 500;
        }
        simulation.run(5 * SECOND_NANOS);

        assertEquals(simulation.runsOf("q1").size(), 2, "runs of a route with two attempts");
        assertTrue(answer.mIsCut, answer.toString());
        assertFalse(answer.mIsComplete, answer.toString());
    }

    /**
     * Guards against any other way of ending an attempt that leads to one run too many, or to more
     * time than the caller gave.
     */
    @Test
    public void noRequestRunsAtMoreTargetsThanItsRouteAllows() {
        for (long seed = 0; seed < 20; seed++) {
            PlatformSimulation simulation = startWithManyTargets(seed);
            List<String> sent = sendWithRandomFaults(simulation, seed);
            for (int n = 0; n < sent.size(); n++) {
                assertRunsAllowed(simulation, "q" + n, sent.get(n), "seed " + seed);
            }
        }
    }

    /** Sends the requests q0, q1 and so on while targets fail; returns their paths. */
    private static List<String> sendWithRandomFaults(PlatformSimulation simulation, long seed) {
        Random random = new Random(seed);
        List<String> paths = MAX_RUNS.keySet().stream().sorted().toList();
        List<String> sent = new ArrayList<>();
        for (int n = 0; n < 400; n++) {
            simulation.mTargets.values().forEach(target -> changeBehaviour(target, random));
            String path = paths.get(random.nextInt(paths.size()));
            sent.add(path);
            simulation.request(simulation.entry(n % 2), "q" + n, path);
            simulation.run(random.nextInt(60) * MILLI_NANOS);
        }
        simulation.run(6 * SECOND_NANOS);
        return sent;
    }

    private static void changeBehaviour(SimulatedTarget target, Random random) {
        if (random.nextInt(4) > 0) {
            return;
        }
        int kind = random.nextInt(10);
        target.mErrorStatus = kind == 0 ? 500 : kind == 1 ? 504 : 0;
        target.mIsSilent = kind == 2;
        target.mIsUnsigned = kind == 3;
        target.mQueueCapacity = kind == 4 ? 0 : 24;
        target.mSlots = kind == 4 ? 0 : 8;
        target.mCutAtEvent = kind == 5 ? 2 + random.nextInt(8) : 0;
        target.mClosesAtEvent = kind == 6 ? 1 + random.nextInt(9) : 0;
        target.mCutsNextAnswer = kind == 7;
        target.mRequestsPerSecond = kind == 8 ? 20 : 0;
        if (kind == 9) {
            target.crash();
        } else {
            target.mIsDown = false;
        }
    }

    private static void assertRunsAllowed(
            PlatformSimulation simulation, String request, String path, String what) {
        List<SimulatedTarget.Run> runs = simulation.runsOf(request);
        assertTrue(
                runs.size() <= MAX_RUNS.get(path),
                what + ": " + request + " of " + path + " ran at " + runs.size() + " targets");
        long firstEnd = runs.isEmpty() ? 0 : endNanos(runs.get(0));
        for (SimulatedTarget.Run run : runs) {
            assertTrue(endNanos(run) <= firstEnd + 2 * MILLI_NANOS, what + ": " + request);
        }
    }

    /** Guards against requests that go from target to target while all of them are full. */
    @Test
    public void aRequestThatFullTargetsRefuseIsSentToNoMoreOfThemThanItsRouteAllows() {
        PlatformSimulation simulation = startWithManyTargets(7);
        for (SimulatedTarget target : simulation.mTargets.values()) {
            target.mSlots = 0;
            target.mQueueCapacity = 0;
        }
        Answer stream = simulation.request(simulation.entry(0), "q1", "/ask/1");
        Answer single = simulation.request(simulation.entry(0), "q2", "/swap/1");
        simulation.run(SECOND_NANOS);

        assertEquals(targetsReached(simulation, "q1"), 2, "targets of a route with two attempts");
        assertEquals(targetsReached(simulation, "q2"), 1, "targets of a route with one attempt");
        assertEquals(stream.mStatus, 503, stream.toString());
        assertEquals(single.mStatus, 503, single.toString());
    }

    /** Guards against any other way of ending an attempt that leads to one target too many. */
    @Test
    public void noRequestIsSentToMoreTargetsThanItsRouteAllows() {
        for (long seed = 0; seed < 20; seed++) {
            PlatformSimulation simulation = startWithManyTargets(seed);
            List<String> sent = sendWithRandomFaults(simulation, seed);
            for (int n = 0; n < sent.size(); n++) {
                long reached = targetsReached(simulation, "q" + n);
                assertTrue(
                        reached <= MAX_RUNS.get(sent.get(n)),
                        "seed " + seed + ": q" + n + " of " + sent.get(n) + ": " + reached);
            }
        }
    }

    /** Returns the number of targets that a request has reached, refusals included. */
    private static long targetsReached(PlatformSimulation simulation, String request) {
        return simulation.mTargets.values().stream()
                .filter(t -> t.mArrivals.stream().anyMatch(run -> run.mRequest.equals(request)))
                .count();
    }

    /** Guards against targets that get the time again that a request has waited in its entry. */
    @Test
    public void theTimeThatARequestHasWaitedInItsEntryIsNotLeft() {
        PlatformSimulation simulation = startWithManyTargets(7);
        simulation.mReceivedNanos = OptionalLong.of(simulation.now() - 2 * SECOND_NANOS);
        simulation.request(simulation.entry(0), "q1", "/ask/1");
        simulation.mReceivedNanos = OptionalLong.of(simulation.now() - 6 * SECOND_NANOS);
        simulation.request(simulation.entry(0), "q2", "/ask/1");
        simulation.run(SECOND_NANOS);

        SimulatedTarget.Run run = simulation.runsOf("q1").get(0);
        long leftMillis = (endNanos(run) - run.mArrivalNanos) / MILLI_NANOS;
        assertTrue(leftMillis > 2_900 && leftMillis <= 3_000, "left " + leftMillis);
        assertEquals(simulation.runsOf("q2"), List.of(), "its time has passed");
    }

    private static long endNanos(SimulatedTarget.Run run) {
        return run.mArrivalNanos
                + MILLI_NANOS
                        * Long.parseLong(
                                PlatformHeaders.value(run.mCall.headers(), "Deadline-Ms")
                                        .orElseThrow());
    }
}
