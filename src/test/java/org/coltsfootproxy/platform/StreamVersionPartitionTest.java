package org.coltsfootproxy.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.platform.PlatformSimulation.Answer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of streams that are taken up at an entry which missed that a new version has joined. */
public final class StreamVersionPartitionTest {
    private static final long MILLI_NANOS = PlatformSimulation.MILLI_NANOS;
    private static final long SECOND_NANOS = PlatformSimulation.SECOND_NANOS;
    private static final int ENTRIES = 4;
    private static final int STREAMS = 16;
    private static final int EVENTS = 30;
    private static final Pattern VERSION = Pattern.compile("data: [^\n]*?@(\\S+)\n");
    private static final Pattern ID = Pattern.compile("id: (\\d+)\n");

    private PlatformSimulation mSimulation;
    private HostId mCutEntry;
    private HostId mOtherEntry;

    @DataProvider
    Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}};
    }

    private void start(long seed) {
        mSimulation = PlatformSimulation.startServing(seed, ENTRIES);
        for (int n = 1; n <= 2; n++) {
            prepare(mSimulation.target("lm-" + n), "v1");
        }
        for (int n = 3; n <= 4; n++) {
            prepare(mSimulation.target("lm-" + n, PlatformSimulation.LM_SERVICE, "z1"), "v1");
        }
        mCutEntry = mSimulation.entry(0);
        mOtherEntry = mSimulation.entry(1);
        // For so long, no other version has been listed.
        mSimulation.run(40 * SECOND_NANOS);
    }

    private static void prepare(SimulatedTarget target, String version) {
        target.mVersion = version;
        target.mEventCount = EVENTS;
        target.mEventIntervalNanos = 100 * MILLI_NANOS;
    }

    private Stream<HostId> others() {
        return mSimulation.fleet().hosts().stream().filter(host -> !host.equals(mCutEntry));
    }

    private void joinNewVersion(int targets) {
        for (int n = 1; n <= targets; n++) {
            prepare(mSimulation.target("lm-new-" + n, PlatformSimulation.LM_SERVICE, "z1"), "v2");
        }
    }

    private static boolean hasVersion(Answer answer, String version) {
        Matcher matcher = VERSION.matcher(answer.body());
        return matcher.find() && matcher.group(1).equals(version);
    }

    private static int lastEvent(Answer answer) {
        int last = 0;
        for (Matcher matcher = ID.matcher(answer.body()); matcher.find(); ) {
            last = Integer.parseInt(matcher.group(1));
        }
        return last;
    }

    /** Begins streams at another entry and ends that entry; returns their answers by number. */
    private List<Answer> beginAndBreak() {
        List<Answer> begun = new ArrayList<>();
        for (int n = 0; n < STREAMS; n++) {
            begun.add(mSimulation.request(mOtherEntry, "q" + n, "/ask/" + n));
            mSimulation.run(10 * MILLI_NANOS);
        }
        mSimulation.run(600 * MILLI_NANOS);
        mSimulation.fleet().crash(mOtherEntry);
        assertTrue(begun.stream().anyMatch(a -> hasVersion(a, "v2")), "no stream began at v2");
        return begun;
    }

    private List<Answer> takeUpAtCutEntry(List<Answer> begun) {
        List<Answer> resumed = new ArrayList<>();
        for (int n = 0; n < begun.size(); n++) {
            resumed.add(
                    mSimulation.resume(
                            mCutEntry, "r" + n, "/ask/" + n, "q" + n, lastEvent(begun.get(n))));
        }
        return resumed;
    }

    private static void assertNoneGoesOnAtAnotherVersion(List<Answer> begun, List<Answer> resumed) {
        for (int n = 0; n < begun.size(); n++) {
            boolean isMixed = hasVersion(begun.get(n), "v2") && hasVersion(resumed.get(n), "v1");
            assertFalse(isMixed, begun.get(n) + " went on as " + resumed.get(n));
        }
    }

    /** Guards against ORDER: the list of an entry without connections shows the old version. */
    @Test(dataProvider = "seeds")
    public void anEntryThatIsCutOffGoesOnWithNoStreamThatItDoesNotKnow(long seed) {
        start(seed);
        others().forEach(host -> mSimulation.fleet().partition(mCutEntry, host));
        joinNewVersion(8);
        mSimulation.run(1_500 * MILLI_NANOS);
        List<Answer> begun = beginAndBreak();

        List<Answer> resumed = takeUpAtCutEntry(begun);
        mSimulation.run(2 * SECOND_NANOS);

        assertNoneGoesOnAtAnotherVersion(begun, resumed);
        resumed.forEach(answer -> assertEquals(answer.mStatus, 503, answer.toString()));
    }

    /** Guards against ORDER: callers reach an entry that goes on before its peers' messages do. */
    @Test(dataProvider = "seeds")
    public void anEntryThatReturnsGoesOnWithNoStreamAtTheOldVersion(long seed) {
        start(seed);
        others().forEach(host -> mSimulation.fleet().partition(mCutEntry, host));
        joinNewVersion(8);
        mSimulation.run(1_500 * MILLI_NANOS);
        List<Answer> begun = beginAndBreak();

        others().forEach(host -> mSimulation.fleet().heal(mCutEntry, host));
        List<Answer> resumed = takeUpAtCutEntry(begun);
        mSimulation.run(2 * SECOND_NANOS);

        assertNoneGoesOnAtAnotherVersion(begun, resumed);
    }

    /** Guards against ORDER: the control hosts are reached, but a list was lost on the way. */
    @Test(dataProvider = "seeds")
    public void anEntryThatIsCutOffFromSomeControlHostsGoesOnAtTheRightVersion(long seed) {
        start(seed);
        mSimulation.fleet().partition(mCutEntry, mSimulation.control(0));
        mSimulation.fleet().partition(mCutEntry, mSimulation.control(1));
        joinNewVersion(8);
        mSimulation.run(1_500 * MILLI_NANOS);
        List<Answer> begun = beginAndBreak();

        List<Answer> resumed = takeUpAtCutEntry(begun);
        mSimulation.run(5 * SECOND_NANOS);

        assertNoneGoesOnAtAnotherVersion(begun, resumed);
        long complete = resumed.stream().filter(a -> a.mStatus == 200 && a.mIsComplete).count();
        assertTrue(complete >= begun.size() / 2, complete + " of " + begun.size());
    }

    /** A confirmation costs a round trip, not the stream. */
    @Test(dataProvider = "seeds")
    public void withOneVersionAStreamGoesOnAtAnyEntryThatReachesAControlHost(long seed) {
        start(seed);
        mSimulation.fleet().partition(mCutEntry, mSimulation.control(0));
        mSimulation.fleet().partition(mCutEntry, mSimulation.control(2));
        mSimulation.run(2 * SECOND_NANOS);
        Answer resumed = mSimulation.resume(mCutEntry, "r", "/ask/1", "never-seen", 3);
        mSimulation.run(250 * MILLI_NANOS);
        assertEquals(resumed.mStatus, 200, resumed.toString());
    }

    /** What can't be confirmed is refused soon, so that its caller can go to another entry. */
    @Test
    public void anUnconfirmedStreamIsRefusedWithinThreeTenthsOfASecond() {
        start(1);
        others().forEach(host -> mSimulation.fleet().partition(mCutEntry, host));
        Answer resumed = mSimulation.resume(mCutEntry, "r", "/ask/1", "never-seen", 3);
        mSimulation.run(310 * MILLI_NANOS);
        assertEquals(resumed.mStatus, 503, resumed.toString());
        assertTrue(mSimulation.runsOf("r").isEmpty(), "the stream has run");
    }
}
