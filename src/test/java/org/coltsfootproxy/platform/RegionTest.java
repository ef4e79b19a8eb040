package org.coltsfootproxy.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.coltsfootproxy.platform.PlatformSimulation.Answer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests that requests and jobs stay in the regions that their routes and organisations allow. The
 * data centres z1 and z3 are in the region eu, z2 is in us, z4 in asia, z5 in no known region.
 */
public final class RegionTest {
    private static final long MILLI_NANOS = PlatformSimulation.MILLI_NANOS;
    private static final long SECOND_NANOS = PlatformSimulation.SECOND_NANOS;
    private static final int ENTRIES = 3;

    /** One target, which takes 40 requests a second, can serve all. */
    private static final long INTERVAL_NANOS = 40 * MILLI_NANOS;

    private final List<Answer> mAnswers = new ArrayList<>();
    private PlatformSimulation mSimulation;

    /** Starts a fleet whose targets lm-1 to lm-5 are in the data centres z1 to z5. */
    private void start(long seed, String ofRoutes, String ofAlpha) {
        mAnswers.clear();
        mSimulation = PlatformSimulation.startServing(seed, ENTRIES);
        IntStream.rangeClosed(3, 5)
                .forEach(
                        n -> mSimulation.target("lm-" + n, PlatformSimulation.LM_SERVICE, "z" + n));
        configure(2, ofRoutes, ofAlpha);
        mSimulation.run(3 * SECOND_NANOS);
    }

    private void configure(long version, String ofRoutes, String ofAlpha) {
        String config =
                SimulatedConfig.config(version, 1_000)
                        .replace("\"timeout_ms\"", regions(ofRoutes) + "\"timeout_ms\"")
                        .replace("\"name\":\"alpha\"", regions(ofAlpha) + "\"name\":\"alpha\"");
        Answer answer = mSimulation.callAsOperator("PUT", "/coltsfootproxy/config", config);
        mSimulation.run(SECOND_NANOS);
        assertEquals(answer.mStatus, 200, answer.toString());
    }

    /** Returns a field, or nothing for "any". */
    private static String regions(String names) {
        return names.equals("any") ? "" : "\"allowed_regions\":[" + names + "],";
    }

    private void send(int requests, String key) {
        for (int n = 0; n < requests; n++) {
            String name = "q" + mAnswers.size();
            mAnswers.add(
                    mSimulation.request(mSimulation.entry(n % ENTRIES), name, "/ask/" + name, key));
            mSimulation.run(INTERVAL_NANOS);
        }
    }

    private void assertArrivedOnlyAt(String... targets) {
        mSimulation.mTargets.values().stream()
                .filter(target -> !List.of(targets).contains(target.mId))
                .forEach(t -> assertEquals(t.mArrivals.size(), 0, "arrivals at " + t.mId));
    }

    private long served() {
        return mAnswers.stream().filter(a -> a.mStatus == 200 && a.mIsComplete).count();
    }

    @DataProvider
    Object[][] limits() {
        return new Object[][] {
            {"any", "\"us\"", new String[] {"lm-2"}},
            {"\"eu\"", "any", new String[] {"lm-1", "lm-3"}},
            {"\"eu\",\"us\"", "\"us\",\"asia\"", new String[] {"lm-2"}},
            {"\"asia\",\"us\"", "any", new String[] {"lm-2", "lm-4"}},
        };
    }

    /** Guards against a request reaching a target of a region that is not allowed. */
    @Test(dataProvider = "limits")
    public void requestsArriveOnlyAtTargetsOfAllowedRegions(
            String ofRoutes, String ofAlpha, String[] targets) {
        start(1, ofRoutes, ofAlpha);
        send(100, PlatformSimulation.ALPHA_KEY);
        mSimulation.run(SECOND_NANOS);
        assertArrivedOnlyAt(targets);
        assertEquals(served(), mAnswers.size());
    }

    /** Guards against restrictions of one organisation binding the others. */
    @Test
    public void anOrganisationWithoutRegionsUsesAllTargets() {
        start(1, "any", "\"us\"");
        send(200, PlatformSimulation.BETA_KEY);
        mSimulation.run(SECOND_NANOS);
        assertEquals(served(), mAnswers.size());
        IntStream.rangeClosed(1, 5)
                .mapToObj(n -> mSimulation.target("lm-" + n))
                .forEach(target -> assertTrue(!target.mArrivals.isEmpty(), target.mId));
    }

    @DataProvider
    Object[][] impossible() {
        return new Object[][] {
            {"\"eu\"", "\"us\""}, {"any", "\"mars\""}, {"\"mars\"", "any"}, {"\"\"", "any"}
        };
    }

    /** Guards against a request that nothing is allowed for being sent, or waiting. */
    @Test(dataProvider = "impossible")
    public void aRequestForWhichNothingIsAllowedIsRefusedAtOnce(String ofRoutes, String ofAlpha) {
        start(1, ofRoutes, ofAlpha);
        send(1, PlatformSimulation.ALPHA_KEY);
        Answer answer = mAnswers.get(0);
        assertEquals(answer.mStatus, 503);
        assertTrue(answer.body().contains("region-unavailable"), answer.body());
        assertArrivedOnlyAt();
    }

    /** Guards against a stream going on at a target of another region when its target crashes. */
    @Test
    public void aBrokenStreamGoesOnOnlyInAllowedRegions() {
        start(1, "any", "\"eu\"");
        mSimulation.target("lm-1").mEventCount = 40;
        mSimulation.target("lm-3").mEventCount = 40;
        send(20, PlatformSimulation.ALPHA_KEY);
        mSimulation.run(100 * MILLI_NANOS);
        mSimulation.target("lm-1").crash();
        mSimulation.run(2 * SECOND_NANOS);
        mSimulation.target("lm-3").crash();
        send(20, PlatformSimulation.ALPHA_KEY);
        mSimulation.run(5 * SECOND_NANOS);
        assertArrivedOnlyAt("lm-1", "lm-3");
    }

    /** Guards against a change of the allowed regions being applied to some requests only. */
    @Test
    public void aChangeOfTheRegionsHoldsForAllLaterRequests() {
        start(1, "any", "\"eu\"");
        send(20, PlatformSimulation.ALPHA_KEY);
        mSimulation.run(SECOND_NANOS);
        assertArrivedOnlyAt("lm-1", "lm-3");
        configure(3, "any", "\"us\"");
        mSimulation.mTargets.values().forEach(target -> target.mArrivals.clear());
        send(20, PlatformSimulation.ALPHA_KEY);
        mSimulation.run(SECOND_NANOS);
        assertArrivedOnlyAt("lm-2");
        assertEquals(served(), mAnswers.size());
    }

    /** Guards against the items of a job being kept at stores of regions that are not allowed. */
    @Test
    public void aJobIsRefusedIfSomeStoreIsInARegionThatIsNotAllowed() {
        start(1, "any", "\"eu\"");
        Answer answer = mSimulation.submit(mSimulation.entry(0), "j1", 5);
        mSimulation.run(2 * SECOND_NANOS);
        assertEquals(answer.mStatus, 503, answer.toString());
        assertTrue(answer.body().contains("region-unavailable"), answer.body());
        assertArrivedOnlyAt();
    }

    /** Guards against the items of a job running at targets of regions that are not allowed. */
    @Test
    public void theItemsOfAJobRunOnlyInAllowedRegions() {
        start(1, "\"eu\",\"us\",\"asia\"", "\"eu\",\"us\"");
        Answer answer = mSimulation.submit(mSimulation.entry(0), "j1", 60);
        mSimulation.run(SECOND_NANOS);
        assertEquals(answer.mStatus, 202, answer.toString());
        configure(3, "any", "\"us\",\"eu\"");
        mSimulation.run(15 * SECOND_NANOS);
        assertArrivedOnlyAt("lm-1", "lm-2", "lm-3");
        for (int item = 0; item < 60; item++) {
            assertTrue(!mSimulation.runsOf("j1-i" + item).isEmpty(), "item " + item);
        }
    }

    /** Guards against items that go on in the regions that their route allowed at submission. */
    @Test
    public void theItemsOfAJobFollowAChangeOfTheRegionsOfTheirRoute() {
        start(1, "\"eu\",\"us\",\"asia\"", "any");
        mSimulation.mTargets.values().forEach(target -> target.mSlots = 2);
        mSimulation.mTargets.values().forEach(t -> t.mEventIntervalNanos = 100 * MILLI_NANOS);
        Answer answer = mSimulation.submit(mSimulation.entry(0), "j1", 60);
        mSimulation.run(SECOND_NANOS);
        assertEquals(answer.mStatus, 202, answer.toString());
        configure(3, "\"us\"", "any");
        mSimulation.run(SECOND_NANOS);
        mSimulation.mTargets.values().forEach(target -> target.mArrivals.clear());
        mSimulation.run(40 * SECOND_NANOS);
        assertArrivedOnlyAt("lm-2");
        for (int item = 0; item < 60; item++) {
            assertTrue(!mSimulation.runsOf("j1-i" + item).isEmpty(), "item " + item);
        }
    }
}
