package org.coltsfootproxy.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.platform.PlatformSimulation.Answer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of streams that are interrupted while targets of two software versions serve side by side.
 *
 * <p>What two versions write doesn't fit together, and the targets don't check it.
 */
public final class StreamVersionTest {
    private static final long MILLI_NANOS = PlatformSimulation.MILLI_NANOS;
    private static final long SECOND_NANOS = PlatformSimulation.SECOND_NANOS;

    private static final int ENTRIES = 4;
    private static final int TARGETS = 8;
    private static final int EVENTS = 30;

    /** Share of the interrupted streams that go on, of those that would begin: half is owed. */
    private static final double MIN_RESUMED_SHARE = 0.5;

    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: [^\n]*?@(\\S+)\n\n");

    private final List<Stream> mStreams = new ArrayList<>();
    private PlatformSimulation mSimulation;
    private CrashingTargets mTargets;
    private Random mRandom;

    @DataProvider
    Object[][] seeds() {
        return new Object[][] {{1L}, {2L}, {3L}, {4L}, {5L}};
    }

    /** A stream over all tries of its caller. */
    private final class Stream {
        private final String mName;
        private final List<Answer> mAnswers = new ArrayList<>();
        private HostId mEntry;

        Stream(String name, HostId entry) {
            mName = name;
            mEntry = entry;
            mAnswers.add(mSimulation.request(entry, name, "/ask/" + name));
        }

        Answer last() {
            return mAnswers.get(mAnswers.size() - 1);
        }

        int lastEvent() {
            int last = 0;
            for (Answer answer : mAnswers) {
                for (Matcher event = EVENT.matcher(answer.body()); event.find(); ) {
                    assertEquals(Integer.parseInt(event.group(1)), ++last, toString());
                }
            }
            return last;
        }

        Set<String> versions() {
            Set<String> versions = new HashSet<>();
            for (Answer answer : mAnswers) {
                for (Matcher event = EVENT.matcher(answer.body()); event.find(); ) {
                    versions.add(event.group(2));
                }
            }
            return versions;
        }

        boolean isComplete() {
            return last().mIsComplete && last().mStatus == 200 && lastEvent() == EVENTS;
        }

        void resumeAt(HostId entry) {
            mEntry = entry;
            String name = mName + "-" + mAnswers.size();
            mAnswers.add(mSimulation.resume(entry, name, "/ask/" + mName, mName, lastEvent()));
        }

        @Override
        public String toString() {
            return mName + " " + mAnswers;
        }
    }

    private void start(long seed, String... versions) {
        mRandom = new Random(seed);
        mStreams.clear();
        mSimulation = PlatformSimulation.startServing(seed, ENTRIES);
        for (int n = 3; n <= TARGETS; n++) {
            mSimulation.target("lm-" + n, PlatformSimulation.LM_SERVICE, "z" + (1 + n % 3));
        }
        mTargets = new CrashingTargets(mSimulation, target -> target.mEventCount = EVENTS);
        for (int n = 1; n <= TARGETS; n++) {
            SimulatedTarget target = mSimulation.target("lm-" + n);
            target.mVersion = versions[n % versions.length];
            mTargets.add(target);
        }
        mSimulation.run(3 * SECOND_NANOS);
    }

    private HostId anyEntry() {
        return mSimulation.entry(mRandom.nextInt(ENTRIES));
    }

    private HostId anyEntryBut(HostId other) {
        HostId entry = anyEntry();
        return entry.equals(other) ? anyEntryBut(other) : entry;
    }

    private void begin(int streams) {
        for (int n = 0; n < streams; n++) {
            mStreams.add(new Stream("q" + mStreams.size(), anyEntry()));
            mSimulation.run(20 * MILLI_NANOS);
        }
    }

    private void assertNoStreamMixesVersions() {
        List<Stream> mixed =
                mStreams.stream().filter(stream -> stream.versions().size() > 1).toList();
        assertTrue(mixed.isEmpty(), mixed.size() + " of " + mStreams.size() + ": " + mixed);
    }

    private static void assertShareCompletes(List<Stream> streams, double share) {
        long complete = streams.stream().filter(Stream::isComplete).count();
        assertTrue(streams.size() >= 12, streams.size() + " streams");
        assertTrue(complete >= share * streams.size(), complete + " of " + streams.size());
    }

    /** Guards against an entry resuming a stream at a target of another version (ORDER). */
    @Test(dataProvider = "seeds")
    public void aStreamThatItsTargetBreaksOffGoesOnAtTheSameVersion(long seed) {
        start(seed, "v1", "v1.1");
        List<SimulatedTarget> targets = List.copyOf(mTargets.mAll);
        for (int n = 0; n < 6; n++) {
            begin(15);
            targets.get(mRandom.nextInt(TARGETS)).mCutAtEvent = EVENTS / 2;
        }
        targets.get(0).crash();
        mSimulation.run(5 * SECOND_NANOS);
        assertNoStreamMixesVersions();
        assertShareCompletes(mStreams, 0.95);
    }

    private List<Stream> crashEntryAndResumeItsStreams(HostId entry, boolean isRestarted) {
        mSimulation.fleet().crash(entry);
        List<Stream> broken =
                mStreams.stream()
                        .filter(stream -> stream.mEntry.equals(entry))
                        .filter(stream -> !stream.isComplete() && stream.lastEvent() > 0)
                        .toList();
        mSimulation.run(300 * MILLI_NANOS);
        if (isRestarted) {
            mSimulation.startEntry(entry);
            mSimulation.run(2 * SECOND_NANOS);
        }
        broken.forEach(s -> s.resumeAt(isRestarted ? entry : anyEntryBut(entry)));
        mSimulation.run(3 * SECOND_NANOS);
        return broken;
    }

    /** Guards against a caller's stream going on at another version at another entry (ORDER). */
    @Test(dataProvider = "seeds")
    public void aStreamThatItsCallerTakesUpElsewhereGoesOnAtTheSameVersion(long seed) {
        start(seed, "v1", "v1.1");
        begin(60);
        List<Stream> resumed = crashEntryAndResumeItsStreams(mStreams.get(50).mEntry, false);
        assertNoStreamMixesVersions();
        assertTrue(resumed.size() >= 3, "resumed " + resumed.size());
        long goOn = resumed.stream().filter(Stream::isComplete).count();
        assertTrue(goOn >= MIN_RESUMED_SHARE * resumed.size(), goOn + " of " + resumed);
    }

    /** Guards against refusing most of the streams that callers take up after a crash (LOST). */
    @Test(dataProvider = "seeds")
    public void moreThanHalfOfTheStreamsOfTwoLostEntriesGoOnElsewhere(long seed) {
        start(seed, "v1", "v1.1");
        for (int n = 0; n < 60; n++) {
            mStreams.add(new Stream("q" + n, mSimulation.entry(n % ENTRIES)));
            mSimulation.run(8 * MILLI_NANOS);
        }
        List<HostId> lost = List.of(mSimulation.entry(0), mSimulation.entry(1));
        List<Stream> broken =
                mStreams.stream()
                        .filter(stream -> lost.contains(stream.mEntry))
                        .filter(stream -> stream.lastEvent() > 0)
                        .toList();
        lost.forEach(mSimulation.fleet()::crash);
        mSimulation.run(100 * MILLI_NANOS);
        List<Stream> fresh = new ArrayList<>();
        for (int n = 0; n < broken.size(); n++) {
            HostId entry = mSimulation.entry(2 + n % 2);
            broken.get(n).resumeAt(entry);
            fresh.add(new Stream("n" + n, entry));
            mSimulation.run(8 * MILLI_NANOS);
        }
        mSimulation.run(4 * SECOND_NANOS);
        assertNoStreamMixesVersions();
        long begun = fresh.stream().filter(stream -> stream.lastEvent() > 0).count();
        assertTrue(begun > 0.5 * fresh.size(), begun + " of " + fresh.size() + " new streams");
        assertShareCompletes(broken, MIN_RESUMED_SHARE * begun / fresh.size());
    }

    /** Guards against an entry that has restarted not knowing the versions of streams (ORDER). */
    @Test(dataProvider = "seeds")
    public void anEntryThatHasRestartedGoesOnWithStreamsAtTheirVersions(long seed) {
        start(seed, "v1", "v1.1");
        begin(60);
        List<Stream> resumed = crashEntryAndResumeItsStreams(mStreams.get(50).mEntry, true);
        assertNoStreamMixesVersions();
        assertTrue(resumed.size() >= 3, "resumed " + resumed.size());
        long goOn = resumed.stream().filter(Stream::isComplete).count();
        assertTrue(goOn >= MIN_RESUMED_SHARE * resumed.size(), goOn + " of " + resumed);
    }

    /** Guards against a second interruption of a stream being taken for a first one. */
    @Test(dataProvider = "seeds")
    public void aStreamThatIsTakenUpTwiceKeepsItsVersion(long seed) {
        start(seed, "v1", "v1.1");
        begin(40);
        crashEntryAndResumeItsStreams(mStreams.get(30).mEntry, true);
        List<Stream> again = mStreams.subList(20, 40);
        again.forEach(stream -> stream.resumeAt(anyEntry()));
        mSimulation.run(3 * SECOND_NANOS);
        assertNoStreamMixesVersions();
    }

    /** Guards against guessing the version of a stream that no host has seen begin. */
    @Test
    public void aStreamOfUnknownVersionIsRefusedWhileSeveralVersionsServe() {
        start(1, "v1", "v1.1");
        for (String first : List.of("never-seen", "")) {
            Answer answer = mSimulation.resume(anyEntry(), "r" + first, "/ask/1", first, 3);
            mSimulation.run(SECOND_NANOS);
            assertEquals(answer.mStatus, 503, answer.toString());
            assertTrue(mSimulation.runsOf("r" + first).isEmpty());
        }
    }

    /** Guards against other entries not knowing the streams from before a release (ORDER). */
    @Test(dataProvider = "seeds")
    public void aStreamThatBeganBeforeTheSecondVersionCameGoesOnAtItsVersion(long seed) {
        start(seed, "v1");
        mSimulation.run(40 * SECOND_NANOS);
        mTargets.mAll.forEach(target -> target.mEventIntervalNanos = 100 * MILLI_NANOS);
        begin(40);
        for (int n = 1; n <= TARGETS; n++) {
            SimulatedTarget target =
                    mSimulation.target("lm-new-" + n, PlatformSimulation.LM_SERVICE, "z1");
            target.mVersion = "v2";
            target.mEventCount = EVENTS;
        }
        mSimulation.run(2 * SECOND_NANOS);
        List<Stream> resumed = crashEntryAndResumeItsStreams(mStreams.get(30).mEntry, false);
        mSimulation.run(3 * SECOND_NANOS);
        assertNoStreamMixesVersions();
        assertTrue(resumed.size() >= 3, "resumed " + resumed.size());
        long goOn = resumed.stream().filter(Stream::isComplete).count();
        assertTrue(goOn >= MIN_RESUMED_SHARE * resumed.size(), goOn + " of " + resumed);
    }

    /** Guards against taking the version that a release leaves for that of any earlier stream. */
    @Test
    public void aStreamOfUnknownVersionIsRefusedUntilAReleaseIsLongOver() {
        start(1, "v1");
        mTargets.mAll.forEach(target -> target.mVersion = "v2");
        mSimulation.run(10 * SECOND_NANOS);
        Answer soon = mSimulation.resume(anyEntry(), "r1", "/ask/1", "never-seen", 3);
        mSimulation.run(30 * SECOND_NANOS);
        Answer later = mSimulation.resume(anyEntry(), "r2", "/ask/1", "never-seen", 3);
        mSimulation.run(2 * SECOND_NANOS);
        assertEquals(soon.mStatus, 503, soon.toString());
        assertEquals(later.mStatus, 200, later.toString());
    }

    /** Guards against taking one request without an id for another one. */
    @Test
    public void aStreamOfARequestWithoutAnIdIsNotTakenForAnother() {
        start(1, "v1", "v1.1");
        Answer begun = mSimulation.request(anyEntry(), "", "/ask/1");
        mSimulation.run(2 * SECOND_NANOS);
        assertTrue(begun.mIsComplete, begun.toString());
        Answer answer = mSimulation.resume(anyEntry(), "r1", "/ask/2", "", 3);
        mSimulation.run(SECOND_NANOS);
        assertEquals(answer.mStatus, 503, answer.toString());
    }

    /** Guards against refusing streams for their versions where only one has served for long. */
    @Test
    public void anyStreamGoesOnWhereOnlyOneVersionServes() {
        start(1, "v1");
        mSimulation.run(60 * SECOND_NANOS);
        Answer answer = mSimulation.resume(anyEntry(), "r1", "/ask/1", "never-seen", 3);
        mSimulation.run(2 * SECOND_NANOS);
        assertEquals(answer.mStatus, 200, answer.toString());
        assertTrue(answer.body().startsWith("id: 4\n"), answer.toString());
    }

    /** Guards against a stream of a version that has gone being continued by the next one. */
    @Test(dataProvider = "seeds")
    public void aStreamWhoseVersionHasGoneIsNotContinuedByAnother(long seed) {
        start(seed, "v1");
        begin(20);
        mSimulation.run(SECOND_NANOS);
        mTargets.mAll.forEach(target -> target.mVersion = "v2");
        mSimulation.run(2 * SECOND_NANOS);
        mStreams.forEach(stream -> stream.resumeAt(anyEntry()));
        mSimulation.run(3 * SECOND_NANOS);
        mStreams.forEach(
                stream ->
                        assertTrue(
                                stream.last().mStatus == 503 && stream.versions().size() == 1,
                                stream.toString()));
    }

    private String results(String job) {
        Answer results =
                mSimulation.callJob(
                        mSimulation.entry(0), "GET", "/coltsfootproxy/lots/" + job + "?after=0", 0);
        mSimulation.run(SECOND_NANOS);
        return results.body();
    }

    private void assertItemsAreWholeAndOfOneVersion(String job, int items) {
        String results = results(job);
        assertTrue(results.contains("\"next_token\":" + items), results);
        for (int item = 0; item < items; item++) {
            String id = job + "-i" + item;
            Set<String> versions = new HashSet<>();
            Matcher event = Pattern.compile(id + "-\\d+@([a-z0-9.]+)").matcher(results);
            while (event.find()) {
                versions.add(event.group(1));
            }
            assertEquals(versions.size(), 1, id + " in " + results);
            String version = versions.iterator().next();
            IntStream.rangeClosed(1, EVENTS)
                    .mapToObj(n -> id + "-" + n + "@" + version)
                    .forEach(text -> assertTrue(results.contains(text), text));
        }
    }

    /** Guards against batch items that go on at another version after a crash. */
    @Test(dataProvider = "seeds")
    public void anItemWhoseTargetCrashesGoesOnAtItsVersion(long seed) {
        start(seed, "v1", "v1.1");
        Answer job = mSimulation.submit(mSimulation.entry(0), "j", 24);
        for (int n = 0; n < 6; n++) {
            mSimulation.run(300 * MILLI_NANOS);
            mTargets.mAll.get(mRandom.nextInt(TARGETS)).mCutAtEvent = EVENTS / 2;
        }
        mSimulation.run(10 * SECOND_NANOS);
        assertEquals(job.mStatus, 202, job.toString());
        assertItemsAreWholeAndOfOneVersion("j", 24);
    }

    /** Guards against items that a new store goes on with at another version. */
    @Test(dataProvider = "seeds")
    public void anItemWhoseStoreIsLostGoesOnAtItsVersion(long seed) {
        start(seed, "v1", "v1.1");
        mTargets.mAll.forEach(target -> target.mEventIntervalNanos = 100 * MILLI_NANOS);
        mSimulation.submit(mSimulation.entry(0), "j", 16);
        mSimulation.run(2 * SECOND_NANOS);
        mSimulation.fleet().crash(mSimulation.store(1));
        mSimulation.fleet().crash(mSimulation.store(3));
        mSimulation.run(SECOND_NANOS);
        mSimulation.startStore(mSimulation.store(1));
        mSimulation.startStore(mSimulation.store(3));
        mSimulation.run(15 * SECOND_NANOS);
        assertItemsAreWholeAndOfOneVersion("j", 16);
    }

    /** Guards against an item of a version that has gone waiting for it, or being mixed. */
    @Test(dataProvider = "seeds")
    public void anItemWhoseVersionHasGoneBeginsAnew(long seed) {
        start(seed, "v1");
        mTargets.mAll.forEach(target -> target.mEventIntervalNanos = 100 * MILLI_NANOS);
        mSimulation.submit(mSimulation.entry(0), "j", 16);
        mSimulation.run(1_500 * MILLI_NANOS);
        List<SimulatedTarget> targets = List.copyOf(mTargets.mAll);
        targets.forEach(SimulatedTarget::crash);
        targets.forEach(target -> target.mVersion = "v2");
        mSimulation.run(15 * SECOND_NANOS);
        assertItemsAreWholeAndOfOneVersion("j", 16);
    }
}
