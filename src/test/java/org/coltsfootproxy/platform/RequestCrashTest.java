package org.coltsfootproxy.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.platform.PlatformSimulation.Answer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of a request that crashes each target that runs it, and comes again and again.
 *
 * <p>Its repeats have the same caller, path and body, but other ids, and come at any entry.
 */
public final class RequestCrashTest {
    private static final long MILLI_NANOS = PlatformSimulation.MILLI_NANOS;
    private static final long SECOND_NANOS = PlatformSimulation.SECOND_NANOS;

    /** Crashes after which hosts have to know the request. */
    private static final int KNOWN_AFTER_CRASHES = 3;

    /** Time after the last of these crashes within which all hosts have to know it. */
    private static final long CONTACT_NANOS = 3 * SECOND_NANOS;

    /** Times that the request may reach targets after that. */
    private static final int MAX_LATE_ARRIVALS = 3;

    private static final int ENTRIES = 4;
    private static final int LM_TARGETS = 8;
    private static final int APP_TARGETS = 4;

    private final List<Answer> mSound = new ArrayList<>();
    private PlatformSimulation mSimulation;
    private CrashingTargets mTargets;
    private Random mRandom;
    private String mCrashingPath;
    private int mNumber;

    /** A kind of request that crashes targets: its path, and how many events it gets before. */
    private enum Kind {
        REPEATABLE("/card/crash", 0),
        NOT_REPEATABLE("/pay/crash", 0),
        STREAM_BEFORE_ITS_HEAD("/swap/crash", 0),
        STREAM_AFTER_ITS_HEAD("/swap/crash", 3),
        RESUMABLE_STREAM("/ask/crash", 3);

        private final String mPath;
        private final int mEvents;

        Kind(String path, int events) {
            mPath = path;
            mEvents = events;
        }
    }

    @DataProvider
    Object[][] kindsAndSeeds() {
        List<Object[]> rows = new ArrayList<>();
        for (Kind kind : Kind.values()) {
            for (long seed = 1; seed <= 4; seed++) {
                rows.add(new Object[] {kind, seed});
            }
        }
        return rows.toArray(Object[][]::new);
    }

    @DataProvider
    Object[][] kinds() {
        return List.of(Kind.values()).stream()
                .map(kind -> new Object[] {kind})
                .toArray(Object[][]::new);
    }

    private void start(Kind kind, long seed) {
        mRandom = new Random(seed);
        mNumber = 0;
        mSound.clear();
        mCrashingPath = kind.mPath;
        mSimulation = PlatformSimulation.startServing(seed, ENTRIES);
        mTargets =
                new CrashingTargets(
                        mSimulation,
                        target -> {
                            target.mCrashingPath = kind.mPath;
                            target.mEventsBeforeCrash = kind.mEvents;
                        });
        for (int n = 3; n <= LM_TARGETS; n++) {
            mSimulation.target("lm-" + n, PlatformSimulation.LM_SERVICE, "z" + (1 + n % 3));
        }
        for (int n = 2; n <= APP_TARGETS; n++) {
            mSimulation.target("app-" + n, PlatformSimulation.APP_SERVICE, "z" + (1 + n % 3))
                            .mIsPlain =
                    true;
        }
        mSimulation.run(2 * SECOND_NANOS);
        List.copyOf(mSimulation.mTargets.values()).forEach(mTargets::add);
    }

    private HostId anyEntry() {
        return mSimulation.entry(mRandom.nextInt(ENTRIES));
    }

    private Answer sendCrashing(HostId entry) {
        return mSimulation.requestWithBody(entry, "x" + ++mNumber, mCrashingPath, "the same body");
    }

    /** Sends sound requests each 40 ms, and the one that crashes targets each 600 ms. */
    private void sendFor(long nanos) {
        for (long end = mSimulation.now() + nanos; mSimulation.now() < end; ) {
            mNumber++;
            String path = List.of("/ask/", "/swap/", "/card/").get(mNumber % 3) + mNumber;
            mSound.add(mSimulation.request(anyEntry(), "s" + mNumber, path));
            if (mNumber % 15 == 0) {
                sendCrashing(anyEntry());
            }
            mSimulation.run(40 * MILLI_NANOS);
        }
    }

    private long lateArrivals() {
        if (mTargets.mCrashes.size() < KNOWN_AFTER_CRASHES) {
            return 0;
        }
        long known = mTargets.mCrashes.get(KNOWN_AFTER_CRASHES - 1) + CONTACT_NANOS;
        return mTargets.arrivalsSince(known).stream()
                .filter(run -> run.mCall.path().equals(mCrashingPath))
                .count();
    }

    private void assertFewLateArrivals() {
        int crashes = mTargets.mCrashes.size();
        assertTrue(crashes > 1, "crashes " + crashes);
        assertTrue(
                lateArrivals() <= MAX_LATE_ARRIVALS,
                lateArrivals() + " late arrivals, " + crashes + " crashes");
    }

    /** Guards against a request that crashes its targets being sent on and on (BUDGET). */
    @Test(dataProvider = "kindsAndSeeds")
    public void aRequestThatCrashesTargetsStopsReachingThemFromAnyEntry(Kind kind, long seed) {
        start(kind, seed);
        sendFor(15 * SECOND_NANOS);
        assertFewLateArrivals();
    }

    /** Guards against sound requests of the same caller being refused with the crashing one. */
    @Test(dataProvider = "kindsAndSeeds")
    public void soundRequestsAreServedMeanwhile(Kind kind, long seed) {
        start(kind, seed);
        sendFor(8 * SECOND_NANOS);
        mSound.clear();
        sendFor(5 * SECOND_NANOS);
        mSimulation.run(3 * SECOND_NANOS);
        long served = mSound.stream().filter(a -> a.mStatus == 200 && a.mIsComplete).count();
        assertTrue(served >= 0.9 * mSound.size(), served + " of " + mSound.size());
    }

    private void crashUntilQuarantined() {
        sendFor(8 * SECOND_NANOS);
        assertTrue(
                mSimulation.mLoggedEvents.contains(EventCode.SUSPECT_QUARANTINED),
                mTargets.mCrashes.size() + " crashes");
    }

    private void assertRefusedWithoutCrash(HostId entry) {
        int crashes = mTargets.mCrashes.size();
        Answer answer = sendCrashing(entry);
        mSimulation.run(SECOND_NANOS);
        assertEquals(answer.mStatus, 503, answer.toString());
        assertEquals(mTargets.mCrashes.size(), crashes);
    }

    /** Guards against an entry that starts later learning the request by crashes of its own. */
    @Test(dataProvider = "kinds")
    public void anEntryThatHasRestartedRefusesTheRequest(Kind kind) {
        start(kind, 1);
        crashUntilQuarantined();
        HostId entry = mSimulation.entry(0);
        mSimulation.fleet().crash(entry);
        mSimulation.run(SECOND_NANOS);
        mSimulation.startEntry(entry);
        mSimulation.run(4 * SECOND_NANOS);
        assertRefusedWithoutCrash(entry);
    }

    /** Guards against the fleet learning the request anew, by crashes, after all hosts ended. */
    @Test(dataProvider = "kinds")
    public void theRequestIsRefusedAfterTheEndOfAllHosts(Kind kind) {
        start(kind, 1);
        crashUntilQuarantined();
        mSimulation.run(2 * SECOND_NANOS);
        mSimulation.restartAllHosts();
        mSimulation.run(6 * SECOND_NANOS);
        assertRefusedWithoutCrash(mSimulation.entry(0));
    }

    /** Guards against two entries that can't reach each other learning it each for itself. */
    @Test(dataProvider = "kinds")
    public void entriesThatAreCutOffFromEachOtherLearnItFromControlHosts(Kind kind) {
        start(kind, 1);
        for (int other = 1; other < ENTRIES; other++) {
            mSimulation.fleet().partition(mSimulation.entry(0), mSimulation.entry(other));
        }
        mSimulation.run(3 * SECOND_NANOS);
        for (int n = 0; n < 6; n++) {
            sendCrashing(mSimulation.entry(1));
            mSimulation.run(SECOND_NANOS);
        }
        mSimulation.run(CONTACT_NANOS);
        assertRefusedWithoutCrash(mSimulation.entry(0));
    }

    /** Guards against a request being blamed for an outage of the targets that run it. */
    @Test
    public void aRequestThatIsOftenSentOutlastsAnOutageOfAllTargets() {
        start(Kind.REPEATABLE, 1);
        mCrashingPath = "/card/popular";
        for (int n = 0; n < 40; n++) {
            sendCrashing(anyEntry());
        }
        mSimulation.run(10 * MILLI_NANOS);
        List.copyOf(mSimulation.mTargets.values()).forEach(SimulatedTarget::crash);
        mSimulation.run(6 * SECOND_NANOS);
        assertFalse(mSimulation.mLoggedEvents.contains(EventCode.SUSPECT_QUARANTINED));
        Answer answer = sendCrashing(anyEntry());
        mSimulation.run(SECOND_NANOS);
        assertEquals(answer.mStatus, 200, answer.toString());
    }

    /** Guards against a request being blamed for crashes though targets answer it in between. */
    @Test
    public void aRequestThatIsAnsweredBetweenCrashesIsServed() {
        start(Kind.REPEATABLE, 1);
        mCrashingPath = "/card/popular";
        for (int n = 1; n <= 12; n++) {
            mSimulation.target("app-" + (1 + n % APP_TARGETS)).mCutsNextAnswer = true;
            for (int k = 0; k < 6; k++) {
                sendCrashing(anyEntry());
                mSimulation.run(100 * MILLI_NANOS);
            }
        }
        assertFalse(mSimulation.mLoggedEvents.contains(EventCode.SUSPECT_QUARANTINED));
    }
}
