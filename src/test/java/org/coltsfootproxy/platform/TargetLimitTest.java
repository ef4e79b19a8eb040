package org.coltsfootproxy.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.coltsfootproxy.platform.PlatformSimulation.Answer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests that targets which name a limit get no more requests, from all hosts together. */
public final class TargetLimitTest {
    private static final long MILLI_NANOS = PlatformSimulation.MILLI_NANOS;
    private static final long SECOND_NANOS = PlatformSimulation.SECOND_NANOS;

    /** Time after a target first named its limit from which on the limit binds all hosts. */
    private static final long CONTACT_NANOS = 3 * SECOND_NANOS;

    /** Any span of this length counts. */
    private static final long WINDOW_NANOS = 4 * SECOND_NANOS;

    /** Time to the first event within which an answer is on time; the routes' goal. */
    private static final long GOAL_NANOS = 300 * MILLI_NANOS;

    private static final long TROUGH_NANOS = 3_600 * MILLI_NANOS;
    private static final long CREST_NANOS = 2_400 * MILLI_NANOS;

    /** Time in which entries learn how long a stream holds its slot. */
    private static final long LEARNING_NANOS = 20 * SECOND_NANOS;

    /** Events of a stream that holds its slot for 0.8 s. */
    private static final int EVENTS_OF_LONG_STREAM = 40;

    private static final double ALLOWED_FACTOR = 1.5;
    private static final int ALLOWED_SURPLUS = 5;
    private static final int ENTRIES = 5;
    private static final int TARGETS = 8;

    private final List<Answer> mAnswers = new ArrayList<>();
    private PlatformSimulation mSimulation;
    private Random mRandom;
    private int mEntries;

    private void start(long seed) {
        start(seed, ENTRIES);
    }

    private void start(long seed, int entries) {
        mEntries = entries;
        mRandom = new Random(seed);
        mAnswers.clear();
        mSimulation = PlatformSimulation.startServing(seed, entries);
        IntStream.rangeClosed(3, TARGETS).forEach(n -> target(n, "z" + (1 + n % 3)));
        mSimulation.run(3 * SECOND_NANOS);
    }

    private void target(int number, String dataCentre) {
        mSimulation.target("lm-" + number, PlatformSimulation.LM_SERVICE, dataCentre);
    }

    private void sendFor(long nanos, int requestsPerSecond) {
        for (long end = mSimulation.now() + nanos; mSimulation.now() < end; ) {
            if (mRandom.nextInt(1_000) < requestsPerSecond) {
                int number = mAnswers.size();
                mAnswers.add(
                        mSimulation.request(
                                mSimulation.entry(mRandom.nextInt(mEntries)),
                                "q" + number,
                                "/ask/" + number));
            }
            mSimulation.run(MILLI_NANOS);
        }
    }

    /** Lets targets name a limit from now on. */
    private void limit(int targets, double requestsPerSecond) {
        for (int n = 1; n <= targets; n++) {
            mSimulation.target("lm-" + n).mRequestsPerSecond = requestsPerSecond;
        }
    }

    private void assertLimitKept(SimulatedTarget target, long since) {
        long allowed =
                (long) (ALLOWED_FACTOR * target.mRequestsPerSecond * WINDOW_NANOS / SECOND_NANOS)
                        + ALLOWED_SURPLUS;
        long[] arrivals =
                target.mRuns.stream()
                        .mapToLong(run -> run.mArrivalNanos)
                        .filter(at -> at >= since)
                        .sorted()
                        .toArray();
        for (int first = 0; first < arrivals.length; first++) {
            long end = arrivals[first] + WINDOW_NANOS;
            int from = first;
            long count =
                    IntStream.range(first, arrivals.length)
                            .filter(n -> n >= from && arrivals[n] < end)
                            .count();
            assertTrue(count <= allowed, target.mId + " got " + count + ", allowed " + allowed);
        }
    }

    @DataProvider
    Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}};
    }

    /** Guards against a target in need getting far more requests than it takes (LIMIT). */
    @Test(dataProvider = "seeds")
    public void aTargetGetsNoMoreThanItsLimitFromAllHosts(long seed) {
        start(seed);
        sendFor(2 * SECOND_NANOS, 60);
        limit(5, 2.5);
        long since = mSimulation.now() + CONTACT_NANOS;
        mSimulation.submit(mSimulation.entry(0), "j1", 40);
        sendFor(12 * SECOND_NANOS, 60);
        assertLimitsKept(5, since);
    }

    private void assertLimitsKept(int targets, long since) {
        IntStream.rangeClosed(1, targets)
                .mapToObj(n -> mSimulation.target("lm-" + n))
                .forEach(target -> assertLimitKept(target, since));
    }

    private long served() {
        return mAnswers.stream().filter(a -> a.mStatus == 200 && a.mIsComplete).count();
    }

    /** Guards against more hosts than a report reaches at once exceeding a limit together. */
    @Test(dataProvider = "seeds")
    public void manyHostsKeepALimitTogether(long seed) {
        start(seed, 24);
        sendFor(2 * SECOND_NANOS, 80);
        limit(5, 4);
        long since = mSimulation.now() + CONTACT_NANOS;
        sendFor(10 * SECOND_NANOS, 80);
        assertLimitsKept(5, since);
    }

    /** Guards against limits costing requests that other targets have room for. */
    @Test(dataProvider = "seeds")
    public void requestsGoToTargetsWithoutALimit(long seed) {
        start(seed);
        limit(5, 2.5);
        sendFor(8 * SECOND_NANOS, 60);
        mSimulation.run(2 * SECOND_NANOS);
        assertEquals(served(), mAnswers.size());
    }

    /** Guards against requests waiting for limits until their deadline passes. */
    @Test(dataProvider = "seeds")
    public void whatAllLimitsTogetherDoNotAllowIsRefusedSoon(long seed) {
        start(seed);
        limit(TARGETS, 2);
        sendFor(2 * SECOND_NANOS, 40);
        long since = mSimulation.now() + CONTACT_NANOS;
        mAnswers.clear();
        sendFor(10 * SECOND_NANOS, 40);
        mSimulation.run(3 * SECOND_NANOS);
        assertLimitsKept(TARGETS, since);
        for (Answer answer : mAnswers) {
            boolean isRefused = answer.mStatus == 503 && answer.header("Retry-After").isPresent();
            assertTrue(answer.mStatus == 200 || isRefused, answer.toString());
            assertTrue(
                    !isRefused || answer.mEndNanos - answer.mSentNanos <= 2 * SECOND_NANOS,
                    "refused after " + (answer.mEndNanos - answer.mSentNanos) + " ns");
        }
        double possible = 10 * 2 * TARGETS;
        assertTrue(served() >= 0.8 * possible, served() + " of " + possible);
    }

    /** Guards against a target staying unused when it no longer names a limit. */
    @Test(dataProvider = "seeds")
    public void aTargetThatNamesNoLimitAnyMoreIsUsedAsBefore(long seed) {
        start(seed);
        limit(TARGETS, 2);
        sendFor(4 * SECOND_NANOS, 40);
        limit(TARGETS, 0);
        sendFor(3 * SECOND_NANOS, 40);
        mAnswers.clear();
        sendFor(3 * SECOND_NANOS, 40);
        mSimulation.run(2 * SECOND_NANOS);
        assertEquals(served(), mAnswers.size());
    }

    /** Guards against limits being used up by what could go elsewhere when a crest comes. */
    @Test(dataProvider = "seeds")
    public void whatIsLeftOfLimitsInATroughServesTheCrest(long seed) {
        start(seed);
        mSimulation.mTargets.values().forEach(target -> target.mEventCount = EVENTS_OF_LONG_STREAM);
        limit(5, 2.5);
        long since = mSimulation.now() + CONTACT_NANOS;
        mSimulation.submit(mSimulation.entry(0), "j1", 40);
        sendFor(TROUGH_NANOS, 10);
        mAnswers.clear();
        for (int wave = 0; wave < 3; wave++) {
            sendFor(CREST_NANOS, 46);
            sendFor(TROUGH_NANOS, 10);
        }
        assertLimitsKept(5, since);
        long onTime = onTime();
        assertTrue(onTime >= 0.95 * mAnswers.size(), onTime + " of " + mAnswers.size());
    }

    /** Guards against what limits keep out filling the queues of the other targets. */
    @Test(dataProvider = "seeds")
    public void aCrestBeyondAllLimitsDoesNotFillTheQueuesOfOtherTargets(long seed) {
        double shareWithoutLimited =
                shareOnTimeInCrest(
                        seed,
                        () ->
                                IntStream.rangeClosed(1, 6)
                                        .mapToObj(n -> mSimulation.target("lm-" + n))
                                        .forEach(target -> target.mIsDraining = true));
        double share = shareOnTimeInCrest(seed, () -> limit(6, 2.5));
        assertTrue(share >= shareWithoutLimited, share + " against " + shareWithoutLimited);
        double possible = CREST_NANOS / (double) SECOND_NANOS * (2 * 10 + 6 * 2.5);
        assertTrue(onTime() >= 0.8 * possible, onTime() + " of " + possible + " possible");
    }

    /** Returns which share of the answers in a crest is on time while two targets are as usual. */
    private double shareOnTimeInCrest(long seed, Runnable trouble) {
        start(seed);
        mSimulation.mTargets.values().forEach(target -> target.mEventCount = EVENTS_OF_LONG_STREAM);
        trouble.run();
        sendFor(LEARNING_NANOS, 10);
        mAnswers.clear();
        sendFor(CREST_NANOS, 70);
        mSimulation.run(6 * SECOND_NANOS);
        long answered = mAnswers.stream().filter(answer -> answer.mStatus == 200).count();
        return onTime() / (double) answered;
    }

    private long onTime() {
        return mAnswers.stream()
                .filter(answer -> answer.mStatus == 200)
                .filter(answer -> answer.mFirstChunkNanos - answer.mSentNanos <= GOAL_NANOS)
                .count();
    }
}
