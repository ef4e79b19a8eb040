package org.coltsfootproxy.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.function.Function;
import java.util.function.IntPredicate;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.coltsfootproxy.admission.ContentionSimulation.Call;
import org.coltsfootproxy.admission.ContentionSimulation.Rule;
import org.testng.Reporter;
import org.testng.annotations.Test;

/**
 * Plays patterns of load in virtual time. Requests alternate between 0.39 of the mean rate for 3.6
 * s and 1.91 of it for 2.4 s.
 */
public final class ContentionLoadTest {
    private static final int SEED = 7;
    private static final int MILLIS = 24_000;
    private static final int FLOOD_FROM = 9_000;
    private static final int FLOOD_TO = 16_000;

    /** Requests of the flooding organisation a second: its rate limit. */
    private static final double FLOOD_PER_SECOND = 165;

    /** Smallest number of requests of a group whose share is measured. */
    private static final int MIN_SAMPLES = 40;

    private static final Predicate<Call> ALL = call -> true;
    private static final Predicate<Call> FLOOD = call -> call.mOrganisation.equals("flood");
    private static final Predicate<Call> IN_CREST = call -> isCrest((int) call.mArrived);
    private static final Predicate<Call> IN_FLOOD_TIME =
            call -> call.mArrived >= FLOOD_FROM && call.mArrived < FLOOD_TO;

    /** A pattern of load: large organisations, the flood, ranks and faults. */
    private static final class Pattern {
        private int mOrganisations = 81;
        private double mLargeFraction = 0.3;
        private boolean mHasFlood;
        private int mRanks = 1;
        private double mRate = 1;
        private Function<ContentionSimulation, IntPredicate> mFault = s -> millis -> false;
    }

    private static boolean isCrest(int millis) {
        return millis % 6_000 >= 3_600;
    }

    private static ContentionSimulation play(Rule rule, Pattern pattern) {
        var simulation = new ContentionSimulation(rule, SEED);
        IntPredicate fault = pattern.mFault.apply(simulation);
        var random = new java.util.Random(SEED);
        for (int millis = 0; millis < MILLIS; millis++) {
            simulation.step();
            fault.test(millis);
            double factor = pattern.mRate * (isCrest(millis) ? 1.91 : 0.39) / 1_000;
            if (random.nextDouble() < 170 * factor) {
                send(simulation, pattern, true, random);
            }
            if (random.nextDouble() < 40 * factor) {
                send(simulation, pattern, false, random);
            }
            boolean isFlood = pattern.mHasFlood && millis >= FLOOD_FROM && millis < FLOOD_TO;
            if (isFlood && random.nextDouble() < FLOOD_PER_SECOND / 1_000) {
                simulation.request("flood", 0, true);
            }
        }
        for (int millis = 0; millis < 6_000; millis++) {
            simulation.step();
        }
        return simulation;
    }

    /** The first three organisations send a large part of the requests. */
    private static void send(
            ContentionSimulation simulation,
            Pattern pattern,
            boolean isStream,
            java.util.Random random) {
        boolean isLarge = random.nextDouble() < pattern.mLargeFraction;
        int number = isLarge ? random.nextInt(3) : 3 + random.nextInt(pattern.mOrganisations - 3);
        simulation.request("org-" + number, number % pattern.mRanks, isStream);
    }

    private static String figures(ContentionSimulation s, Predicate<Call> which) {
        return String.format(
                "%d calls, in time %.3f, served %.3f, refused %.3f",
                s.count(which), s.inTime(which), s.served(which), s.refused(which));
    }

    private static void report(String name, ContentionSimulation simulation) {
        Reporter.log(
                name
                        + ": "
                        + figures(simulation, ALL)
                        + "; in crests "
                        + figures(simulation, IN_CREST)
                        + "; without flood "
                        + figures(simulation, FLOOD.negate().and(IN_FLOOD_TIME))
                        + "; flood "
                        + figures(simulation, FLOOD),
                true);
    }

    /** Checks what holds under each pattern. */
    private static void checkRules(ContentionSimulation simulation) {
        assertEquals(simulation.count(call -> call.mIsRefusedAtZeroWait), 0);
        checkShares(simulation, "organisation", call -> call.mOrganisation, 0.25);
        checkShares(simulation, "rank", call -> call.mRank, 0.25);
        checkShares(simulation, "kind", call -> call.mKind, 0.25);
        checkShares(simulation, "size", call -> call.mBytes, 0.5);
    }

    private static void checkShares(
            ContentionSimulation simulation,
            String name,
            Function<Call, Object> groupOf,
            double fraction) {
        double ofAll = simulation.served(ALL);
        for (Object group : simulation.mCalls.stream().map(groupOf).collect(Collectors.toSet())) {
            Predicate<Call> isIn = call -> groupOf.apply(call).equals(group);
            if (simulation.count(isIn) >= MIN_SAMPLES) {
                double served = simulation.served(isIn);
                assertTrue(
                        served >= fraction * ofAll,
                        name + " " + group + ": served " + served + ", all " + ofAll);
            }
        }
    }

    /** Guards against a crest in which fair decisions serve fewer in time than order of arrival. */
    @Test
    public void aCrestWaveServesAtLeastAsManyInTimeAsInOrderOfArrival() {
        ContentionSimulation before = play(Rule.FIRST_COME, new Pattern());
        ContentionSimulation fair = play(Rule.FAIR, new Pattern());
        report("crest wave, first come", before);
        report("crest wave, fair", fair);

        assertTrue(
                fair.inTime(IN_CREST) >= before.inTime(IN_CREST),
                fair.inTime(IN_CREST) + " in time, " + before.inTime(IN_CREST) + " before");
    }

    /** Guards against a crest in which a group gets less than its minimum share. */
    @Test
    public void aCrestWaveKeepsTheMinimumShares() {
        checkRules(play(Rule.FAIR, new Pattern()));
    }

    /** Returns the calls of small organisations while another one floods, if it does. */
    private static Predicate<Call> smallInFloodTime() {
        return IN_FLOOD_TIME.and(call -> !call.mOrganisation.matches("flood|org-[012]"));
    }

    private static ContentionSimulation playFlood(Rule rule) {
        Pattern flood = new Pattern();
        flood.mHasFlood = true;
        return play(rule, flood);
    }

    /** Guards against a flood of one organisation that costs the others more than it costs it. */
    @Test
    public void inAFloodSmallOrganisationsAreServedBetterThanInOrderOfArrival() {
        Predicate<Call> small = smallInFloodTime();
        ContentionSimulation before = playFlood(Rule.FIRST_COME);
        ContentionSimulation fair = playFlood(Rule.FAIR);
        report("flood, first come", before);
        report("flood, fair", fair);
        Reporter.log("small with flood, first come " + figures(before, small), true);
        Reporter.log("small with flood, fair " + figures(fair, small), true);

        checkRules(fair);
        assertTrue(fair.inTime(small) > before.inTime(small));
        assertTrue(fair.refused(small) < before.refused(small));
        assertTrue(fair.refused(small) < fair.refused(FLOOD));
    }

    /** Guards against organisations below their share that are refused for another's flood. */
    @Test
    public void aFloodAddsNoRefusalsOfOrganisationsBelowTheirShare() {
        Predicate<Call> small = smallInFloodTime();
        ContentionSimulation calm = play(Rule.FAIR, new Pattern());
        ContentionSimulation fair = playFlood(Rule.FAIR);
        Reporter.log("small without flood " + figures(calm, small), true);
        Reporter.log("small with flood, fair " + figures(fair, small), true);

        assertTrue(
                fair.refused(small) <= calm.refused(small),
                "refused " + fair.refused(small) + ", without flood " + calm.refused(small));
    }

    /** Guards against a flood that makes the requests of small organisations late. */
    @Test
    public void aFloodCostsSmallOrganisationsAtMostATenthOfTheirRequestsInTime() {
        Predicate<Call> small = smallInFloodTime();
        ContentionSimulation calm = play(Rule.FAIR, new Pattern());
        ContentionSimulation fair = playFlood(Rule.FAIR);

        assertTrue(
                fair.inTime(small) >= calm.inTime(small) - 0.1,
                "in time " + fair.inTime(small) + ", without flood " + calm.inTime(small));
    }

    /** Guards against small organisations that wait behind a few large ones. */
    @Test
    public void threeLargeOrganisationsDoNotCrowdOutSixtyEightSmallOnes() {
        Predicate<Call> large = call -> call.mOrganisation.matches("org-[012]");
        Pattern pattern = new Pattern();
        pattern.mOrganisations = 71;
        pattern.mLargeFraction = 0.6;
        pattern.mRate = 1.3;
        ContentionSimulation before = play(Rule.FIRST_COME, pattern);
        ContentionSimulation fair = play(Rule.FAIR, pattern);
        Reporter.log("small, first come " + figures(before, large.negate()), true);
        Reporter.log("large, first come " + figures(before, large), true);
        Reporter.log("small, fair " + figures(fair, large.negate()), true);
        Reporter.log("large, fair " + figures(fair, large), true);

        checkRules(fair);
        assertTrue(fair.inTime(large.negate()) > before.inTime(large.negate()));
        assertTrue(fair.inTime(large.negate()) > fair.inTime(large));
    }

    /** Guards against ranks of the configuration that have no effect in a crest. */
    @Test
    public void theMoreUrgentOfTwoRanksIsServedFirstInACrest() {
        Predicate<Call> urgent = call -> call.mRank == 0;
        Pattern pattern = new Pattern();
        pattern.mRanks = 2;
        pattern.mRate = 1.3;
        pattern.mLargeFraction = 0;
        ContentionSimulation before = play(Rule.FIRST_COME, pattern);
        ContentionSimulation fair = play(Rule.FAIR, pattern);
        Reporter.log("urgent, first come " + figures(before, urgent), true);
        Reporter.log("urgent, fair " + figures(fair, urgent), true);
        Reporter.log("less urgent, fair " + figures(fair, urgent.negate()), true);

        checkRules(fair);
        assertTrue(fair.inTime(urgent) > before.inTime(urgent));
        assertTrue(fair.inTime(urgent) > fair.inTime(urgent.negate()));
    }

    /** Guards against decisions that depend on what a killed entry knew. */
    @Test
    public void anEntryKilledInACrestChangesNoRule() {
        Pattern pattern = new Pattern();
        pattern.mHasFlood = true;
        pattern.mFault =
                s ->
                        millis -> {
                            if (millis == 10_000) {
                                s.kill(3);
                            }
                            return true;
                        };
        ContentionSimulation fair = play(Rule.FAIR, pattern);
        report("entry killed, fair", fair);

        checkRules(fair);
        assertTrue(fair.inTime(FLOOD.negate()) > fair.inTime(FLOOD));
    }

    /** Guards against entries that refuse wrongly while they know no counts. */
    @Test
    public void allEntriesRestartedInACrestChangeNoRule() {
        Pattern pattern = new Pattern();
        pattern.mHasFlood = true;
        pattern.mFault =
                s ->
                        millis -> {
                            for (int n = 0; n < ContentionSimulation.ENTRIES; n++) {
                                if (millis == 10_000) {
                                    s.startEntry(n);
                                }
                            }
                            return true;
                        };
        ContentionSimulation fair = play(Rule.FAIR, pattern);
        report("all entries restarted, fair", fair);

        checkRules(fair);
        assertTrue(fair.inTime(FLOOD.negate()) > fair.inTime(FLOOD));
    }

    /** Guards against shares that are wrong while entries hear only some of the others. */
    @Test
    public void aPartitionBetweenEntriesInACrestChangesNoRule() {
        Pattern pattern = new Pattern();
        pattern.mHasFlood = true;
        pattern.mFault =
                s ->
                        millis -> {
                            if (millis == 10_000) {
                                s.partition();
                            }
                            return true;
                        };
        ContentionSimulation fair = play(Rule.FAIR, pattern);
        report("partition, fair", fair);

        checkRules(fair);
        assertTrue(fair.inTime(FLOOD.negate()) > fair.inTime(FLOOD));
    }
}
