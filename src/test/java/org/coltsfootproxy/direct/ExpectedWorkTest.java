package org.coltsfootproxy.direct;

import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import org.coltsfootproxy.direct.RoutingSimulation.Call;
import org.coltsfootproxy.direct.RoutingSimulation.Policy;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Compares ways to choose a target by the time to the first event that callers see, with one entry
 * and with five that hear of each other's calls 20 to 40 ms late.
 */
public final class ExpectedWorkTest {
    private static final double GOAL_MILLIS = 303;
    private static final double STREAMS_PER_SECOND = 120;
    private static final int SEEDS = 3;

    private Map<Policy, List<Call>> mOneEntry;
    private Map<Policy, List<Call>> mFiveEntries;

    @BeforeClass
    public void play() {
        mOneEntry = play(1);
        mFiveEntries = play(5);
    }

    private static Map<Policy, List<Call>> play(int entries) {
        Map<Policy, List<Call>> byPolicy = new EnumMap<>(Policy.class);
        for (Policy policy : Policy.values()) {
            List<Call> calls = new ArrayList<>();
            for (long seed = 1; seed <= SEEDS; seed++) {
                var simulation = new RoutingSimulation(policy, entries, seed);
                calls.addAll(simulation.play(STREAMS_PER_SECOND, 60_000));
            }
            calls.sort(Comparator.comparingInt(call -> call.mOutput));
            byPolicy.put(policy, calls);
            System.out.printf(
                    "%d entries, %s: %d calls, p99 %.0f ms, served: all %.3f, fifth %.3f, tenth"
                            + " %.3f%n",
                    entries,
                    policy,
                    calls.size(),
                    p99(calls),
                    served(calls, 0, 1),
                    served(calls, 0.7, 0.9),
                    served(calls, 0.9, 1));
        }
        return byPolicy;
    }

    private static double p99(List<Call> calls) {
        double[] millis = calls.stream().mapToDouble(Call::firstEventMillis).sorted().toArray();
        return millis[(int) (0.99 * millis.length)];
    }

    /** Returns the share of calls between two quantiles of size with the first event in time. */
    private static double served(List<Call> bySize, double from, double to) {
        List<Call> calls = bySize.subList((int) (from * bySize.size()), (int) (to * bySize.size()));
        long served = calls.stream().filter(c -> c.firstEventMillis() <= GOAL_MILLIS).count();
        return served / (double) calls.size();
    }

    private static void assertNearOracle(Map<Policy, List<Call>> calls) {
        double learned = p99(calls.get(Policy.LEARNED));
        double oracle = p99(calls.get(Policy.ORACLE));

        assertTrue(learned <= 1.1 * oracle, learned + " ms, oracle " + oracle + " ms");
    }

    private static void assertQuarterOfLeastCalls(Map<Policy, List<Call>> calls) {
        double oracle = p99(calls.get(Policy.ORACLE));
        double learned = p99(calls.get(Policy.LEARNED)) - oracle;
        double least = p99(calls.get(Policy.CALLS)) - oracle;

        assertTrue(learned <= least / 4, learned + " ms, least calls " + least + " ms");
    }

    private static void assertLargeOnesServed(Map<Policy, List<Call>> calls) {
        List<Call> learned = calls.get(Policy.LEARNED);
        double all = served(learned, 0, 1);

        assertTrue(served(learned, 0.7, 0.9) >= 0.9 * all, "fifth");
        assertTrue(served(learned, 0.9, 1) >= 0.9 * all, "tenth");
    }

    /** Guards against learned costs that are too far from the true ones to be of use. */
    @Test
    public void withOneEntryTheSlowestWaitHardlyLongerThanWithTrueWorkAndSpeeds() {
        assertNearOracle(mOneEntry);
    }

    /** Guards against reports that are too late or too coarse to rank targets by them. */
    @Test
    public void withFiveEntriesTheSlowestWaitHardlyLongerThanWithTrueWorkAndSpeeds() {
        assertNearOracle(mFiveEntries);
    }

    /** Guards against a ranking that is hardly better than the number of calls. */
    @Test
    public void withOneEntryTheDistanceToTheOracleIsAQuarterOfThatOfLeastCalls() {
        assertQuarterOfLeastCalls(mOneEntry);
    }

    /** Guards against a ranking whose gain is lost where several entries choose at once. */
    @Test
    public void withFiveEntriesTheDistanceToTheOracleIsAQuarterOfThatOfLeastCalls() {
        assertQuarterOfLeastCalls(mFiveEntries);
    }

    /** Guards against a choice that serves small requests at the cost of large ones. */
    @Test
    public void largeRequestsAreServedAlmostAsOftenAsAll() {
        assertLargeOnesServed(mOneEntry);
        assertLargeOnesServed(mFiveEntries);
    }
}
