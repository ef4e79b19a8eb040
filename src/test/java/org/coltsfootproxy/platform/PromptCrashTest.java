package org.coltsfootproxy.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.SuspectId;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.platform.PlatformSimulation.Answer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of a part of prompts on which each target crashes as it begins an answer.
 *
 * <p>Requests with that part come at any entry, no two alike; sound ones share their caller and
 * their other parts.
 */
public final class PromptCrashTest {
    private static final long MILLI_NANOS = PlatformSimulation.MILLI_NANOS;
    private static final long SECOND_NANOS = PlatformSimulation.SECOND_NANOS;
    private static final String CRASHING_PART = "bad0bad0";

    /** Crashes after which hosts have to know the part. */
    private static final int KNOWN_AFTER_CRASHES = 5;

    /** Time after the last of these crashes within which all hosts have to know it. */
    private static final long CONTACT_NANOS = 3 * SECOND_NANOS;

    /** Requests with the part that may reach targets after that. */
    private static final int MAX_LATE_RUNS = 3;

    private static final int ENTRIES = 4;
    private static final int TARGETS = 8;

    private final List<Answer> mSound = new ArrayList<>();
    private PlatformSimulation mSimulation;
    private CrashingTargets mTargets;
    private Random mRandom;
    private int mNumber;

    private void start(long seed) {
        mRandom = new Random(seed);
        mNumber = 0;
        mSound.clear();
        mSimulation = PlatformSimulation.startServing(seed, ENTRIES);
        for (int n = 3; n <= TARGETS; n++) {
            mSimulation.target("lm-" + n, PlatformSimulation.LM_SERVICE, "z" + (1 + n % 3));
        }
        mSimulation.run(2 * SECOND_NANOS);
        mTargets = new CrashingTargets(mSimulation, target -> target.mCrashingPart = CRASHING_PART);
        for (int n = 1; n <= TARGETS; n++) {
            mTargets.add(mSimulation.target("lm-" + n));
        }
    }

    private HostId anyEntry() {
        return mSimulation.entry(mRandom.nextInt(ENTRIES));
    }

    /** Sends a sound request each 40 ms, and one with the part each 400 ms, for some time. */
    private void sendFor(long nanos) {
        for (long end = mSimulation.now() + nanos; mSimulation.now() < end; ) {
            mNumber++;
            String first = "f" + mRandom.nextInt(3);
            String last = "e" + mNumber;
            mSound.add(
                    mSimulation.requestWithPrompt(
                            anyEntry(),
                            "s" + mNumber,
                            "/ask/" + mNumber,
                            first + ":100,d" + mRandom.nextInt(50) + ":100," + last + ":9"));
            if (mNumber % 10 == 0) {
                sendCrashing();
            }
            mSimulation.run(40 * MILLI_NANOS);
        }
    }

    private Answer sendCrashing() {
        mNumber++;
        String first = "f" + mRandom.nextInt(3) + ":100";
        String bad = CRASHING_PART + ":100";
        String prompt = mRandom.nextBoolean() ? first + "," + bad : bad + "," + first;
        String path = mRandom.nextBoolean() ? "/ask/" : "/swap/";
        return mSimulation.requestWithPrompt(
                anyEntry(), "b" + mNumber, path + mNumber, prompt + ",e" + mNumber + ":9");
    }

    private long runsWithPartSince(long nanos) {
        return mTargets.mAll.stream()
                .flatMap(target -> target.mRuns.stream())
                .filter(run -> run.mRequest.startsWith("b"))
                .filter(run -> run.mArrivalNanos >= nanos)
                .count();
    }

    private void assertFewLateRuns() {
        long late =
                mTargets.mCrashes.size() < KNOWN_AFTER_CRASHES
                        ? 0
                        : runsWithPartSince(
                                mTargets.mCrashes.get(KNOWN_AFTER_CRASHES - 1) + CONTACT_NANOS);
        assertTrue(mTargets.mCrashes.size() > 1, "crashes " + mTargets.mCrashes.size());
        assertTrue(
                late <= MAX_LATE_RUNS,
                late + " late runs, " + mTargets.mCrashes.size() + " crashes");
    }

    @DataProvider
    Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}};
    }

    /** Guards against requests with one part crashing targets one after the other (BUDGET). */
    @Test(dataProvider = "seeds")
    public void aPartThatCrashesTargetsStopsReachingThemFromAnyEntry(long seed) {
        start(seed);
        sendFor(15 * SECOND_NANOS);
        assertFewLateRuns();
    }

    /** Guards against sound requests being refused for parts that they share with crashing ones. */
    @Test(dataProvider = "seeds")
    public void soundRequestsOfTheSameCallerAndFirstPartsAreServed(long seed) {
        start(seed);
        sendFor(10 * SECOND_NANOS);
        mSound.clear();
        sendFor(5 * SECOND_NANOS);
        mSimulation.run(3 * SECOND_NANOS);
        long served = mSound.stream().filter(a -> a.mStatus == 200 && a.mIsComplete).count();
        assertTrue(served >= 0.9 * mSound.size(), served + " of " + mSound.size());
    }

    private void crashUntilQuarantined() {
        sendFor(5 * SECOND_NANOS);
        assertTrue(
                mSimulation.mLoggedEvents.contains(EventCode.SUSPECT_QUARANTINED),
                mTargets.mCrashes.size() + " crashes");
    }

    /** Guards against an entry that starts later sending the part until it learns by itself. */
    @Test(dataProvider = "seeds")
    public void anEntryThatHasRestartedRefusesAQuarantinedPart(long seed) {
        start(seed);
        crashUntilQuarantined();
        int crashes = mTargets.mCrashes.size();
        HostId entry = mSimulation.entry(0);
        mSimulation.fleet().crash(entry);
        mSimulation.run(SECOND_NANOS);
        mSimulation.startEntry(entry);
        mSimulation.run(4 * SECOND_NANOS);
        Answer answer =
                mSimulation.requestWithPrompt(entry, "b-late", "/ask/1", CRASHING_PART + ":1,e0:1");
        mSimulation.run(SECOND_NANOS);
        assertEquals(answer.mStatus, 503, answer.toString());
        assertEquals(mTargets.mCrashes.size(), crashes);
    }

    /** Guards against the fleet learning a part anew, by crashes, after all hosts have ended. */
    @Test(dataProvider = "seeds")
    public void aQuarantineOutlastsTheEndOfAllHosts(long seed) {
        start(seed);
        crashUntilQuarantined();
        mSimulation.run(2 * SECOND_NANOS);
        mSimulation.restartAllHosts();
        mSimulation.run(6 * SECOND_NANOS);
        int crashes = mTargets.mCrashes.size();
        sendFor(3 * SECOND_NANOS);
        assertEquals(mTargets.mCrashes.size(), crashes);
    }

    /** Guards against a quarantine that has ended being revived by what is stored. */
    @Test
    public void aQuarantineThatAnAnswerHasLiftedIsNotRevived() {
        start(1);
        crashUntilQuarantined();
        mSimulation.run(2 * SECOND_NANOS);
        mTargets.mAll.forEach(target -> target.mCrashingPart = "");
        mSimulation.reportPrompts(
                new FleetMessage.CrashReport(
                        List.of(), List.of(SuspectId.of(CRASHING_PART)), List.of()));
        mSimulation.run(40 * SECOND_NANOS);
        mSimulation.restartAllHosts();
        mSimulation.run(6 * SECOND_NANOS);
        Answer answer = sendCrashing();
        mSimulation.run(2 * SECOND_NANOS);
        assertEquals(answer.mStatus, 200, answer.toString());
    }

    /** Guards against batch items with the part crashing targets. */
    @Test(dataProvider = "seeds")
    public void batchItemsWithTheSamePartWaitWhileOthersAreDone(long seed) {
        start(seed);
        Answer bad =
                mSimulation.submitWithPrompt(
                        mSimulation.entry(0), "bad", 12, "f1:1," + CRASHING_PART + ":1,e0:1");
        Answer sound =
                mSimulation.submitWithPrompt(mSimulation.entry(1), "good", 30, "f1:1,d1:1,e1:1");
        mSimulation.run(12 * SECOND_NANOS);
        assertEquals(bad.mStatus, 202, bad.toString());
        assertEquals(sound.mStatus, 202, sound.toString());
        assertFewLateRuns();
        Answer results =
                mSimulation.callJob(
                        mSimulation.entry(0), "GET", "/coltsfootproxy/lots/good?after=0", 0);
        mSimulation.run(4 * SECOND_NANOS);
        assertTrue(results.body().contains("\"next_token\":30"), results.toString());
    }

    /** Guards against items that are owed being held back for the time of a quarantine. */
    @Test(dataProvider = "seeds")
    public void batchItemsWithAQuarantinedPartAreDoneByTheirDeadline(long seed) {
        start(seed);
        mTargets.mAll.forEach(target -> target.mCrashingPart = "");
        quarantineEverywhere();
        Answer job =
                mSimulation.submitWithPrompt(
                        mSimulation.entry(0), "owed", 30, CRASHING_PART + ":1,e0:1");
        mSimulation.run(18 * SECOND_NANOS);
        assertEquals(job.mStatus, 202, job.toString());
        Answer results =
                mSimulation.callJob(
                        mSimulation.entry(0), "GET", "/coltsfootproxy/lots/owed?after=0", 0);
        mSimulation.run(SECOND_NANOS);
        assertTrue(results.body().contains("\"next_token\":30"), results.toString());
        Answer answer = sendCrashing();
        mSimulation.run(2 * SECOND_NANOS);
        assertEquals(answer.mStatus, 200, answer.toString());
    }

    private void quarantineEverywhere() {
        var quarantined = new FleetMessage.Quarantined(SuspectId.of(CRASHING_PART), 3_600_000);
        mSimulation.reportPrompts(
                new FleetMessage.CrashReport(List.of(), List.of(), List.of(quarantined)));
    }

    /** Guards against a call with the part crashing the target at whose queue it waits. */
    @Test(dataProvider = "seeds")
    public void callsThatWaitAtATargetAreCancelledOnceTheirPartIsQuarantined(long seed) {
        start(seed);
        for (SimulatedTarget target : mTargets.mAll) {
            target.mSlots = 1;
            target.mEventIntervalNanos = 300 * MILLI_NANOS;
        }
        mSimulation.run(3 * SECOND_NANOS);
        List<Answer> sound = new ArrayList<>();
        for (int n = 0; n < TARGETS; n++) {
            sound.add(mSimulation.request(mSimulation.entry(0), "s" + n, "/swap/" + n));
            mSimulation.run(30 * MILLI_NANOS);
        }
        List<Answer> waiting = List.of(sendCrashing(), sendCrashing());
        mSimulation.run(100 * MILLI_NANOS);
        quarantineEverywhere();
        mSimulation.run(SECOND_NANOS);
        waiting.forEach(answer -> assertEquals(answer.mStatus, 502, answer.toString()));
        mSimulation.run(5 * SECOND_NANOS);
        assertEquals(mTargets.mCrashes.size(), 0);
        sound.forEach(answer -> assertTrue(answer.mIsComplete, answer.toString()));
    }

    /** Guards against a quarantine because of an outage that has nothing to do with prompts. */
    @Test(dataProvider = "seeds")
    public void crashesWithoutACommonPartQuarantineNothing(long seed) {
        start(seed);
        mTargets.mAll.forEach(target -> target.mCrashingPart = "");
        for (int n = 0; n < 40; n++) {
            SimulatedTarget target = mSimulation.target("lm-" + (1 + n % TARGETS));
            target.mCutAtEvent = 1;
            sendFor(400 * MILLI_NANOS);
        }
        assertFalse(mSimulation.mLoggedEvents.contains(EventCode.SUSPECT_QUARANTINED));
    }
}
