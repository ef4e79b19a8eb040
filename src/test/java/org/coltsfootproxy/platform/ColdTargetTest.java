package org.coltsfootproxy.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.platform.PlatformSimulation.Answer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that cold targets get no more requests than they stand, from all hosts together. */
public final class ColdTargetTest {
    private static final long MILLI_NANOS = PlatformSimulation.MILLI_NANOS;
    private static final long SECOND_NANOS = PlatformSimulation.SECOND_NANOS;
    private static final long COLD_NANOS = 3 * SECOND_NANOS;
    private static final int COLD_PER_SECOND = 12;

    /** Requests in any one second above which a cold target crashes. */
    private static final int BOUND = (int) (COLD_PER_SECOND * 1.5) + 5;

    private static final int ENTRIES = 19;
    private static final int STORES = 6;
    private static final int TARGETS = 16;
    private static final int CREST_PER_SECOND = 500;

    /** Events of a stream so short that slots alone don't keep the bound. */
    private static final int EVENTS = 3;

    private static final int TROUGH_PER_SECOND = 50;

    private final List<Answer> mAnswers = new ArrayList<>();
    private PlatformSimulation mSimulation;
    private Random mRandom;

    private void start(long seed) {
        mRandom = new Random(seed);
        mAnswers.clear();
        mSimulation = PlatformSimulation.create(seed, STORES, ENTRIES);
        IntStream.rangeClosed(1, TARGETS)
                .mapToObj(n -> mSimulation.target("lm-" + n, "lm", "z" + (1 + n % 4)))
                .forEach(
                        target -> {
                            target.mTellsCold = true;
                            target.mEventCount = EVENTS;
                        });
        mSimulation.target("app-1", "app", "z1").mIsPlain = true;
        mSimulation.run(8 * SECOND_NANOS);
        Answer answer = mSimulation.callAsOperator("PUT", "/coltsfootproxy/config", coldConfig(1));
        mSimulation.run(2 * SECOND_NANOS);
        assertEquals(answer.mStatus, 200);
    }

    private static String coldConfig(long version) {
        String plain = "{\"name\":\"lm\",\"engine\":{\"slots\":8}}";
        String config = SimulatedConfig.config(version, 1_000);
        assertTrue(config.contains(plain));
        return config.replace(
                plain,
                "{\"name\":\"lm\",\"engine\":{\"slots\":8},\"cold_start_s\":3,\"cold_per_s\":"
                        + COLD_PER_SECOND
                        + "}");
    }

    private void sendFor(long nanos, int requestsPerSecond) {
        for (long end = mSimulation.now() + nanos; mSimulation.now() < end; ) {
            if (mRandom.nextInt(1_000) < requestsPerSecond) {
                int number = mAnswers.size();
                int entry = mRandom.nextInt(ENTRIES);
                mAnswers.add(
                        mSimulation.request(
                                mSimulation.entry(entry), "q" + number, "/ask/" + number));
            }
            mSimulation.run(MILLI_NANOS);
        }
    }

    private Stream<SimulatedTarget> targetsOf(String dataCentre) {
        return mSimulation.mTargets.values().stream()
                .filter(target -> target.mService.equals("lm"))
                .filter(target -> target.mDataCentre.equals(dataCentre));
    }

    /** Loads the targets, and takes those of one data centre down for a while. */
    private void loadWithoutDataCentre() {
        sendFor(3 * SECOND_NANOS, TROUGH_PER_SECOND);
        targetsOf("z2").forEach(SimulatedTarget::crash);
        sendFor(2 * SECOND_NANOS, TROUGH_PER_SECOND);
    }

    private void returnCold() {
        targetsOf("z2").forEach(target -> target.startCold(COLD_NANOS));
    }

    private void assertBoundKept() {
        mSimulation.mTargets.values().forEach(ColdTargetTest::assertBoundKept);
    }

    private static void assertBoundKept(SimulatedTarget target) {
        long[] arrivals = target.coldArrivals();
        int first = 0;
        int most = 0;
        for (int last = 0; last < arrivals.length; last++) {
            while (arrivals[last] - arrivals[first] >= SECOND_NANOS) {
                first++;
            }
            most = Math.max(most, last - first + 1);
        }
        assertTrue(most <= BOUND, target.mId + " got " + most + " in a second, bound " + BOUND);
    }

    private double servedShare() {
        long served = mAnswers.stream().filter(a -> a.mStatus == 200 && a.mIsComplete).count();
        return served / (double) mAnswers.size();
    }

    @DataProvider
    Object[][] seeds() {
        return new Object[][] {{1L}, {2L}};
    }

    /** Guards against the targets of a data centre being overrun as they return cold in a peak. */
    @Test(dataProvider = "seeds")
    public void aDataCentreThatReturnsColdInAPeakKeepsTheBound(long seed) {
        start(seed);
        loadWithoutDataCentre();
        returnCold();
        sendFor(COLD_NANOS + SECOND_NANOS, CREST_PER_SECOND);
        assertBoundKept();
    }

    /** Guards against entries and stores each keeping the bound, but not together. */
    @Test(dataProvider = "seeds")
    public void itemsAndRequestsKeepTheBoundTogether(long seed) {
        start(seed);
        mSimulation.submit(mSimulation.entry(0), "j1", 400);
        loadWithoutDataCentre();
        mSimulation.submit(mSimulation.entry(1), "j2", 400);
        returnCold();
        sendFor(COLD_NANOS + SECOND_NANOS, CREST_PER_SECOND);
        assertBoundKept();
    }

    /** Guards against both sides of a partition using the whole limit. */
    @Test(dataProvider = "seeds")
    public void halvesOfTheHostsThatArePartitionedKeepTheBoundTogether(long seed) {
        start(seed);
        loadWithoutDataCentre();
        List<HostId> callers =
                Stream.concat(
                                IntStream.range(0, ENTRIES).mapToObj(mSimulation::entry),
                                IntStream.range(0, STORES).mapToObj(mSimulation::store))
                        .toList();
        for (int a = 0; a < callers.size(); a += 2) {
            for (int b = 1; b < callers.size(); b += 2) {
                mSimulation.fleet().partition(callers.get(a), callers.get(b));
            }
        }
        mSimulation.submit(mSimulation.entry(0), "j1", 200);
        returnCold();
        sendFor(COLD_NANOS + SECOND_NANOS, CREST_PER_SECOND);
        assertBoundKept();
    }

    /** Guards against hosts that have just started knowing nothing of cold targets. */
    @Test(dataProvider = "seeds")
    public void hostsThatAllRestartMeanwhileKeepTheBound(long seed) {
        start(seed);
        loadWithoutDataCentre();
        targetsOf("z2").forEach(target -> target.startCold(3 * COLD_NANOS));
        sendFor(SECOND_NANOS, CREST_PER_SECOND);
        mSimulation.restartAllHosts();
        sendFor(3 * COLD_NANOS, CREST_PER_SECOND);
        assertBoundKept();
        mAnswers.clear();
        sendFor(3 * SECOND_NANOS, TROUGH_PER_SECOND);
        mSimulation.run(2 * SECOND_NANOS);
        assertTrue(servedShare() >= 0.95, "served " + servedShare());
    }

    /** Guards against targets being taken for warm because the list can't be read. */
    @Test(dataProvider = "seeds")
    public void anUnreadableListDoesNotMatter(long seed) {
        start(seed);
        loadWithoutDataCentre();
        mSimulation.mIsListUnreadable = true;
        returnCold();
        sendFor(COLD_NANOS + SECOND_NANOS, CREST_PER_SECOND);
        assertBoundKept();
    }

    /** Guards against a target that becomes cold without a restart, before the list shows it. */
    @Test(dataProvider = "seeds")
    public void targetsThatTurnColdUnderLoadKeepTheBound(long seed) {
        start(seed);
        mSimulation.submit(mSimulation.entry(0), "j1", 200);
        sendFor(13 * SECOND_NANOS, TROUGH_PER_SECOND);
        for (int crest = 0; crest < 3; crest++) {
            sendFor(SECOND_NANOS, CREST_PER_SECOND / 2);
            targetsOf("z" + (1 + crest)).forEach(target -> target.turnCold(COLD_NANOS));
            sendFor(2 * SECOND_NANOS, CREST_PER_SECOND);
        }
        assertBoundKept();
    }

    /** Guards against the bound being kept by not using targets at all. */
    @Test(dataProvider = "seeds")
    public void aDataCentreThatReturnsColdTakesItsPartOfTheLoad(long seed) {
        start(seed);
        loadWithoutDataCentre();
        mAnswers.clear();
        returnCold();
        sendFor(COLD_NANOS, 120);
        mSimulation.run(2 * SECOND_NANOS);
        assertTrue(servedShare() >= 0.98, "served " + servedShare());
        targetsOf("z2")
                .forEach(
                        target ->
                                assertTrue(
                                        target.coldArrivals().length >= 6,
                                        target.mId + " got " + target.coldArrivals().length));
        assertBoundKept();
    }
}
