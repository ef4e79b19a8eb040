package org.coltsfootproxy.limit;

import static org.coltsfootproxy.limit.LimitSimulation.MILLI_NANOS;
import static org.coltsfootproxy.limit.LimitSimulation.SECOND_NANOS;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.coltsfootproxy.base.OrganisationId;
import org.testng.annotations.Test;

/** Tests {@link GrantLimiter} against an exact token bucket that sees every admission. */
public final class LimiterFuzzTest {
    private static final int SEEDS = 60;
    private static final double ROUNDING_ERROR = 1e-6;

    private static LimitSimulation simulation(long seed) {
        return new LimitSimulation(seed, LimitSimulation.grants(LimitSettings.defaults()));
    }

    @Test
    public void admissionsStayWithinRateTimesTimePlusBurstUnderFaults() {
        long admitted = 0;
        for (long seed = 1; seed <= SEEDS; seed++) {
            LimitSimulation simulation = faultyRun(seed);
            for (LimitSimulation.CallerStats stats : simulation.mStats.values()) {
                assertTrue(
                        stats.mMaxExcess <= ROUNDING_ERROR,
                        "seed " + seed + " excess " + stats.mMaxExcess);
                admitted += stats.mAdmitted;
            }
        }
        assertTrue(admitted > SEEDS * 100, "only " + admitted + " requests admitted");
    }

    private static LimitSimulation faultyRun(long seed) {
        LimitSimulation simulation = simulation(seed);
        OrganisationId small = simulation.addOrganisation("small", 5, 3);
        OrganisationId large = simulation.addOrganisation("large", 200, 40);
        simulation.addNodes(4);
        simulation.mLoss = 0.05;
        simulation.mDuplication = 0.05;
        long end = simulation.mNow + 20 * SECOND_NANOS;
        simulation.demand(small, 4 + simulation.mRandom.nextInt(40), end, simulation::anyNode);
        simulation.demand(large, 50 + simulation.mRandom.nextInt(1_000), end, simulation::anyNode);
        for (int fault = 0; fault < 15; fault++) {
            long at = simulation.mNow + simulation.mRandom.nextLong(20 * SECOND_NANOS);
            simulation.at(at, () -> fault(simulation, small, large));
        }
        simulation.runUntil(end + 5 * SECOND_NANOS);
        return simulation;
    }

    private static void fault(
            LimitSimulation simulation, OrganisationId small, OrganisationId large) {
        LimitSimulation.Node owner = simulation.owner(large).orElse(simulation.anyNode());
        LimitSimulation.Node node = simulation.mRandom.nextBoolean() ? owner : simulation.anyNode();
        long length = simulation.mRandom.nextLong(5 * SECOND_NANOS);
        if (simulation.mRandom.nextBoolean()) {
            node.crash();
            simulation.at(simulation.mNow + length, node::restart);
        } else {
            node.mPartitioned = true;
            simulation.at(simulation.mNow + length, () -> node.mPartitioned = false);
        }
        if (simulation.mRandom.nextInt(4) == 0) {
            simulation.changeRates(
                    large,
                    200 + simulation.mRandom.nextInt(200),
                    40 + simulation.mRandom.nextInt(40));
        }
    }

    @Test
    public void demandWithinTheRateIsNeverRefusedWithoutFaults() {
        for (long seed = 1; seed <= 20; seed++) {
            LimitSimulation simulation = simulation(seed);
            OrganisationId organisation = simulation.addOrganisation("steady", 100, 50);
            simulation.addNodes(4);
            simulation.runUntil(simulation.mNow + 3 * SECOND_NANOS);
            long end = simulation.mNow + 10 * SECOND_NANOS;
            simulation.demand(organisation, 60, end, () -> movingNode(simulation));
            simulation.runUntil(end + SECOND_NANOS);
            LimitSimulation.CallerStats stats = simulation.mStats.get(organisation);

            assertEquals(stats.mRefused + stats.mUnavailable, 0, "seed " + seed);
            assertTrue(stats.mAdmitted > 400, "admitted " + stats.mAdmitted);
        }
    }

    /** Returns the one entry that gets all requests; it changes each second. */
    private static LimitSimulation.Node movingNode(LimitSimulation simulation) {
        return simulation.mNodes.get(
                (int) (simulation.mNow / SECOND_NANOS) % simulation.mNodes.size());
    }

    @Test
    public void aFullBurstIsAdmittedAtOneEntryWhileOthersHoldIdleTokens() {
        LimitSimulation simulation = simulation(7);
        OrganisationId organisation = simulation.addOrganisation("bursty", 20, 40);
        simulation.addNodes(4);
        simulation.runUntil(simulation.mNow + 5 * SECOND_NANOS);
        simulation.demand(
                organisation, 15, simulation.mNow + 2 * SECOND_NANOS, simulation::anyNode);
        simulation.runUntil(simulation.mNow + 2 * SECOND_NANOS + 400 * MILLI_NANOS);
        long before = simulation.mStats.get(organisation).mAdmitted;
        for (int i = 0; i < 30; i++) {
            simulation.mNodes.get(1).request(organisation);
        }
        simulation.runUntil(simulation.mNow + SECOND_NANOS);

        assertEquals(simulation.mStats.get(organisation).mAdmitted - before, 30);
    }

    @Test
    public void requestsAreAdmittedAgainSoonAfterTheOwnerCrashes() {
        LimitSimulation simulation = simulation(3);
        OrganisationId organisation = simulation.addOrganisation("lasting", 50, 20);
        simulation.addNodes(3);
        simulation.runUntil(simulation.mNow + 3 * SECOND_NANOS);
        LimitSimulation.Node owner = simulation.owner(organisation).orElseThrow();
        LimitSimulation.Node other =
                simulation.mNodes.stream().filter(n -> n != owner).findFirst().orElseThrow();
        owner.crash();
        simulation.demand(organisation, 20, simulation.mNow + 6 * SECOND_NANOS, () -> other);
        simulation.runUntil(simulation.mNow + 8 * SECOND_NANOS);
        LimitSimulation.CallerStats stats = simulation.mStats.get(organisation);

        assertEquals(stats.mRefused + stats.mUnavailable, 0, "refused " + stats.mRefused);
        assertTrue(stats.mAdmitted > 80, "admitted " + stats.mAdmitted);
    }

    @Test
    public void aRequestIsAdmittedOnceATokenIsAvailableAfterARefusal() {
        LimitSimulation simulation = simulation(5);
        OrganisationId organisation = simulation.addOrganisation("refused", 2, 1);
        simulation.addNodes(1);
        simulation.runUntil(simulation.mNow + 3 * SECOND_NANOS);
        simulation.mNodes.get(0).request(organisation);
        simulation.mNodes.get(0).request(organisation);
        simulation.runUntil(simulation.mNow + 510 * MILLI_NANOS);
        simulation.mNodes.get(0).request(organisation);
        simulation.runUntil(simulation.mNow + MILLI_NANOS);
        LimitSimulation.CallerStats stats = simulation.mStats.get(organisation);

        assertEquals(stats.mRefused, 1);
        assertEquals(stats.mAdmitted, 2);
    }
}
