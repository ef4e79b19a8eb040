package org.coltsfootproxy.limit;

import static org.coltsfootproxy.limit.LimitSimulation.MILLI;
import static org.coltsfootproxy.limit.LimitSimulation.SECOND;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import org.coltsfootproxy.base.OrganisationId;
import org.testng.annotations.Test;

/** The limiter against an exact bucket that sees every pass of the fleet. */
public final class LimiterFuzzTest {
    private static final int RUNS = 60;
    private static final double ROUNDING = 1e-6;

    private static LimitSimulation world(long seed) {
        return new LimitSimulation(seed, LimitSimulation.grants(LimitSettings.defaults()));
    }

    @Test
    public void noFaultLetsMorePassThanRateTimesTimePlusBurst() {
        long passed = 0;
        for (long seed = 1; seed <= RUNS; seed++) {
            LimitSimulation world = faultyRun(seed);
            for (LimitSimulation.Seen seen : world.mSeen.values()) {
                assertTrue(
                        seen.mWorstExcess <= ROUNDING,
                        "seed " + seed + " excess " + seen.mWorstExcess);
                passed += seen.mPassed;
            }
        }
        assertTrue(passed > RUNS * 100, "only " + passed + " requests passed");
    }

    private static LimitSimulation faultyRun(long seed) {
        LimitSimulation world = world(seed);
        OrganisationId small = world.addOrganisation("small", 5, 3);
        OrganisationId large = world.addOrganisation("large", 200, 40);
        world.addNodes(4);
        world.mLoss = 0.05;
        world.mDouble = 0.05;
        long end = world.mNow + 20 * SECOND;
        world.demand(small, 4 + world.mRandom.nextInt(40), end, world::anyNode);
        world.demand(large, 50 + world.mRandom.nextInt(1_000), end, world::anyNode);
        for (int fault = 0; fault < 15; fault++) {
            long at = world.mNow + world.mRandom.nextLong(20 * SECOND);
            world.at(at, () -> fault(world, small, large));
        }
        world.runUntil(end + 5 * SECOND);
        return world;
    }

    private static void fault(LimitSimulation world, OrganisationId small, OrganisationId large) {
        LimitSimulation.Node owner = world.owner(large).orElse(world.anyNode());
        LimitSimulation.Node node = world.mRandom.nextBoolean() ? owner : world.anyNode();
        long length = world.mRandom.nextLong(5 * SECOND);
        if (world.mRandom.nextBoolean()) {
            node.crash();
            world.at(world.mNow + length, node::restart);
        } else {
            node.mCut = true;
            world.at(world.mNow + length, () -> node.mCut = false);
        }
        if (world.mRandom.nextInt(4) == 0) {
            world.changeRates(
                    large, 200 + world.mRandom.nextInt(200), 40 + world.mRandom.nextInt(40));
        }
    }

    @Test
    public void demandInsideTheRateIsNeverRefusedInOrdinaryRunning() {
        for (long seed = 1; seed <= 20; seed++) {
            LimitSimulation world = world(seed);
            OrganisationId organisation = world.addOrganisation("steady", 100, 50);
            world.addNodes(4);
            world.runUntil(world.mNow + 3 * SECOND);
            long end = world.mNow + 10 * SECOND;
            world.demand(organisation, 60, end, () -> movingNode(world));
            world.runUntil(end + SECOND);
            LimitSimulation.Seen seen = world.mSeen.get(organisation);

            assertEquals(seen.mRefused + seen.mUnavailable, 0, "seed " + seed);
            assertTrue(seen.mPassed > 400, "passed " + seen.mPassed);
        }
    }

    /** All demand is at one entry, which changes each second. */
    private static LimitSimulation.Node movingNode(LimitSimulation world) {
        return world.mNodes.get((int) (world.mNow / SECOND) % world.mNodes.size());
    }

    @Test
    public void aWholeBurstPassesAtOneEntryWhileOthersHoldIdleTokens() {
        LimitSimulation world = world(7);
        OrganisationId organisation = world.addOrganisation("bursty", 20, 40);
        world.addNodes(4);
        world.runUntil(world.mNow + 5 * SECOND);
        world.demand(organisation, 15, world.mNow + 2 * SECOND, world::anyNode);
        world.runUntil(world.mNow + 2 * SECOND + 400 * MILLI);
        long before = world.mSeen.get(organisation).mPassed;
        for (int i = 0; i < 30; i++) {
            world.mNodes.get(1).request(organisation);
        }
        world.runUntil(world.mNow + SECOND);

        assertEquals(world.mSeen.get(organisation).mPassed - before, 30);
    }

    @Test
    public void requestsPassAgainSoonAfterTheOwnerIsLost() {
        LimitSimulation world = world(3);
        OrganisationId organisation = world.addOrganisation("lasting", 50, 20);
        world.addNodes(3);
        world.runUntil(world.mNow + 3 * SECOND);
        LimitSimulation.Node owner = world.owner(organisation).orElseThrow();
        LimitSimulation.Node other =
                world.mNodes.stream().filter(n -> n != owner).findFirst().orElseThrow();
        owner.crash();
        world.demand(organisation, 20, world.mNow + 6 * SECOND, () -> other);
        world.runUntil(world.mNow + 8 * SECOND);
        LimitSimulation.Seen seen = world.mSeen.get(organisation);

        assertEquals(seen.mRefused + seen.mUnavailable, 0, "refused " + seen.mRefused);
        assertTrue(seen.mPassed > 80, "passed " + seen.mPassed);
    }

    @Test
    public void aRefusalTellsWhenATokenIsThere() {
        LimitSimulation world = world(5);
        OrganisationId organisation = world.addOrganisation("refused", 2, 1);
        world.addNodes(1);
        world.runUntil(world.mNow + 3 * SECOND);
        world.mNodes.get(0).request(organisation);
        world.mNodes.get(0).request(organisation);
        world.runUntil(world.mNow + 510 * MILLI);
        world.mNodes.get(0).request(organisation);
        world.runUntil(world.mNow + MILLI);
        LimitSimulation.Seen seen = world.mSeen.get(organisation);

        assertEquals(seen.mRefused, 1);
        assertEquals(seen.mPassed, 2);
    }
}
