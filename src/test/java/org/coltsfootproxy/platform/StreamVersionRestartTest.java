package org.coltsfootproxy.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.platform.PlatformSimulation.Answer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests of streams that callers resume after all entries, or all hosts of the fleet, have ended at
 * once and started again.
 */
public final class StreamVersionRestartTest {
    private static final long MILLI_NANOS = PlatformSimulation.MILLI_NANOS;
    private static final long SECOND_NANOS = PlatformSimulation.SECOND_NANOS;

    private static final int ENTRIES = 4;
    private static final int TARGETS = 8;
    private static final int EVENTS = 30;
    private static final int STREAMS = 40;

    /** Smallest share of the streams whose version still serves that has to be resumed. */
    private static final double MIN_RESUMED_SHARE = 0.5;

    /** A few streams that are resumed all at once find no free slot: 33 of 35 went on (seed 1). */
    private static final double MIN_ONLY_VERSION_SHARE = 0.9;

    private static final List<Change> TWO_VERSIONS =
            List.of(Change.NONE, Change.OLD_GONE_BEFORE, Change.OLD_GONE_WHILE_DOWN);

    private static final Pattern EVENT = Pattern.compile("id: (\\d+)\ndata: [^\n]*?@(\\S+)\n\n");

    private final List<BrokenStream> mStreams = new ArrayList<>();
    private PlatformSimulation mSimulation;
    private CrashingTargets mTargets;

    /** What happens to the software versions of the targets around the restart. */
    private enum Change {
        /** Both versions are listed before and after the restart. */
        NONE("v1", "v2"),
        /** The old version leaves the list shortly before the restart. */
        OLD_GONE_BEFORE("v1", "v2"),
        /** The old version leaves the list while the entries are down. */
        OLD_GONE_WHILE_DOWN("v1", "v2"),
        /** The only version is replaced by another one while the entries are down. */
        REPLACED_WHILE_DOWN("v1", "v1"),
        /** A second version joins the only one while the entries are down. */
        NEW_WHILE_DOWN("v1", "v1");

        private final String[] mVersions;

        Change(String... versions) {
            mVersions = versions;
        }
    }

    /** When callers resume their streams. */
    private enum Moment {
        /** Before an entry has its first list of targets. */
        AT_START,
        /** As soon as all entries accept requests. */
        WHEN_READY,
        LATER
    }

    @DataProvider
    Object[][] changes() {
        return cases(List.of(Change.values()), List.of(Moment.values()));
    }

    /** Returns the cases in which two versions have served before the restart. */
    @DataProvider
    Object[][] changesOfTwoVersions() {
        return cases(TWO_VERSIONS, List.of(Moment.values()));
    }

    /** Returns the cases of two versions that begin once entries have a configuration again. */
    @DataProvider
    Object[][] changesOfTwoVersionsAtReadyEntries() {
        return cases(TWO_VERSIONS, List.of(Moment.WHEN_READY, Moment.LATER));
    }

    private static Object[][] cases(List<Change> changes, List<Moment> moments) {
        return changes.stream()
                .flatMap(
                        change ->
                                moments.stream()
                                        .flatMap(
                                                moment ->
                                                        Stream.of(1L, 2L)
                                                                .map(s -> row(change, moment, s))))
                .toArray(Object[][]::new);
    }

    private static Object[] row(Object... cells) {
        return cells;
    }

    @DataProvider
    Object[][] moments() {
        return moments(Stream.of(Moment.values()));
    }

    @DataProvider
    Object[][] momentsAtReadyEntries() {
        return moments(Stream.of(Moment.WHEN_READY, Moment.LATER));
    }

    private static Object[][] moments(Stream<Moment> moments) {
        return moments.flatMap(moment -> Stream.of(1L, 2L).map(seed -> row(moment, seed)))
                .toArray(Object[][]::new);
    }

    /** A stream that breaks off and is resumed once. */
    private final class BrokenStream {
        private final String mName;
        private final Answer mFirst;
        private Answer mSecond;

        BrokenStream(String name, HostId entry) {
            mName = name;
            mFirst = mSimulation.request(entry, name, "/ask/" + name);
        }

        private List<Answer> answers() {
            return mSecond == null ? List.of(mFirst) : List.of(mFirst, mSecond);
        }

        int lastEvent() {
            int last = 0;
            for (Answer answer : answers()) {
                for (Matcher event = EVENT.matcher(answer.body()); event.find(); ) {
                    assertEquals(Integer.parseInt(event.group(1)), ++last, toString());
                }
            }
            return last;
        }

        Set<String> versions() {
            Set<String> versions = new HashSet<>();
            for (Answer answer : answers()) {
                for (Matcher event = EVENT.matcher(answer.body()); event.find(); ) {
                    versions.add(event.group(2));
                }
            }
            return versions;
        }

        boolean isBroken() {
            return lastEvent() > 0 && lastEvent() < EVENTS;
        }

        boolean isResumed() {
            return mSecond.mStatus == 200 && mSecond.mIsComplete && lastEvent() == EVENTS;
        }

        void resumeAt(HostId entry) {
            mSecond = mSimulation.resume(entry, mName + "-r", "/ask/" + mName, mName, lastEvent());
        }

        @Override
        public String toString() {
            return mName + " " + answers();
        }
    }

    private void start(long seed, String... versions) {
        mStreams.clear();
        mSimulation = PlatformSimulation.startServing(seed, ENTRIES);
        for (int n = 3; n <= TARGETS; n++) {
            mSimulation.target("lm-" + n, PlatformSimulation.LM_SERVICE, "z" + (1 + n % 3));
        }
        mTargets =
                new CrashingTargets(
                        mSimulation,
                        target -> {
                            target.mEventCount = EVENTS;
                            target.mEventIntervalNanos = 100 * MILLI_NANOS;
                        });
        for (int n = 1; n <= TARGETS; n++) {
            SimulatedTarget target = mSimulation.target("lm-" + n);
            target.mVersion = versions[n % versions.length];
            mTargets.add(target);
        }
        mSimulation.run(40 * SECOND_NANOS);
    }

    private void begin(int streams) {
        for (int n = 0; n < streams; n++) {
            HostId entry = mSimulation.entry(n % ENTRIES);
            mStreams.add(new BrokenStream("q" + mStreams.size(), entry));
            mSimulation.run(20 * MILLI_NANOS);
        }
    }

    /** Replaces every target that {@code version} names by a later one of another version. */
    private void replaceVersion(String version, String next) {
        List<SimulatedTarget> targets =
                mTargets.mAll.stream().filter(target -> target.mVersion.equals(version)).toList();
        targets.forEach(SimulatedTarget::crash);
        targets.forEach(target -> target.mVersion = next);
    }

    private void changeWhileDown(Change change) {
        if (change == Change.OLD_GONE_WHILE_DOWN || change == Change.REPLACED_WHILE_DOWN) {
            replaceVersion("v1", "v2");
        } else if (change == Change.NEW_WHILE_DOWN) {
            for (int n = 0; n < TARGETS; n += 2) {
                mTargets.mAll.get(n).crash();
                mTargets.mAll.get(n).mVersion = "v2";
            }
        }
    }

    /** Kills all entries, and starts them again after the list has been read in between. */
    private void restartEntries(Change change) {
        List<HostId> entries = IntStream.range(0, ENTRIES).mapToObj(mSimulation::entry).toList();
        entries.forEach(mSimulation.fleet()::crash);
        changeWhileDown(change);
        mSimulation.run(change == Change.NONE ? 300 * MILLI_NANOS : 4_500 * MILLI_NANOS);
        entries.forEach(mSimulation::startEntry);
    }

    private void loseAllPower(Change change) {
        changeWhileDown(change);
        mSimulation.restartAllHosts();
    }

    private void resume(List<BrokenStream> streams, Moment moment) {
        while (moment == Moment.WHEN_READY && !areAllEntriesReady()) {
            mSimulation.run(MILLI_NANOS);
        }
        mSimulation.run(moment == Moment.LATER ? 3 * SECOND_NANOS : 0);
        for (int n = 0; n < streams.size(); n++) {
            streams.get(n).resumeAt(mSimulation.entry(n % ENTRIES));
        }
        mSimulation.run(12 * SECOND_NANOS);
    }

    private boolean areAllEntriesReady() {
        return IntStream.range(0, ENTRIES)
                .mapToObj(mSimulation::entry)
                .allMatch(mSimulation::isReady);
    }

    /** Returns the streams that the restart has broken, after they have been resumed. */
    private List<BrokenStream> play(
            Change change, Moment moment, long seed, Consumer<Change> restart) {
        start(seed, change.mVersions);
        begin(STREAMS);
        if (change == Change.OLD_GONE_BEFORE) {
            replaceVersion("v1", "v2");
            mSimulation.run(1_100 * MILLI_NANOS);
            begin(STREAMS);
        }
        restart.accept(change);
        List<BrokenStream> broken = mStreams.stream().filter(BrokenStream::isBroken).toList();
        resume(broken, moment);
        assertTrue(broken.size() >= 12, broken.size() + " streams");
        return broken;
    }

    private static void assertNoneIsMixed(List<BrokenStream> streams) {
        List<BrokenStream> mixed = streams.stream().filter(s -> s.versions().size() > 1).toList();
        assertTrue(mixed.isEmpty(), mixed.size() + " of " + streams.size() + ": " + mixed);
        streams.stream()
                .filter(stream -> !stream.isResumed())
                .forEach(stream -> assertEquals(stream.mSecond.mStatus, 503, stream.toString()));
    }

    private void assertShareIsResumed(List<BrokenStream> streams, double share) {
        Set<String> serving = new HashSet<>();
        mTargets.mAll.forEach(target -> serving.add(target.mVersion));
        List<BrokenStream> served =
                streams.stream().filter(s -> serving.containsAll(s.versions())).toList();
        long resumed = served.stream().filter(BrokenStream::isResumed).count();
        assertTrue(served.size() >= 12, served.size() + " streams whose version serves");
        assertTrue(resumed >= share * served.size(), resumed + " of " + served.size());
    }

    /**
     * Guards against streams that go on at another version after the end of all entries (ORDER).
     */
    @Test(dataProvider = "changes")
    public void noStreamChangesItsVersionAfterARestartOfAllEntries(
            Change change, Moment moment, long seed) {
        assertNoneIsMixed(play(change, moment, seed, this::restartEntries));
    }

    /** Guards against refusing most streams after a restart of all entries (LOST). */
    @Test(dataProvider = "changesOfTwoVersions")
    public void halfOfTheStreamsWhoseVersionServesGoOnAfterARestartOfAllEntries(
            Change change, Moment moment, long seed) {
        assertShareIsResumed(play(change, moment, seed, this::restartEntries), MIN_RESUMED_SHARE);
    }

    /** Guards against streams that go on at another version after a power loss (ORDER). */
    @Test(dataProvider = "changes")
    public void noStreamChangesItsVersionAfterAPowerLoss(Change change, Moment moment, long seed) {
        assertNoneIsMixed(play(change, moment, seed, this::loseAllPower));
    }

    /** Guards against refusing most streams of two versions after a power loss (LOST). */
    @Test(dataProvider = "changesOfTwoVersionsAtReadyEntries")
    public void halfOfTheStreamsWhoseVersionServesGoOnAfterAPowerLoss(
            Change change, Moment moment, long seed) {
        assertShareIsResumed(play(change, moment, seed, this::loseAllPower), MIN_RESUMED_SHARE);
    }

    private List<BrokenStream> playOneVersion(Moment moment, long seed, Consumer<Change> restart) {
        start(seed, "v1");
        begin(STREAMS);
        restart.accept(Change.NONE);
        List<BrokenStream> broken = mStreams.stream().filter(BrokenStream::isBroken).toList();
        resume(broken, moment);
        return broken;
    }

    /** Guards against refusals after a restart of all entries where one version has served. */
    @Test(dataProvider = "moments")
    public void allStreamsOfTheOnlyVersionGoOnAfterARestartOfAllEntries(Moment moment, long seed) {
        assertShareIsResumed(
                playOneVersion(moment, seed, this::restartEntries), MIN_ONLY_VERSION_SHARE);
    }

    /** Guards against refusals after a power loss where one version has ever served. */
    @Test(dataProvider = "momentsAtReadyEntries")
    public void allStreamsOfTheOnlyVersionGoOnAfterAPowerLoss(Moment moment, long seed) {
        assertShareIsResumed(
                playOneVersion(moment, seed, this::loseAllPower), MIN_ONLY_VERSION_SHARE);
    }

    /** Guards against streams being known to one store only, or to hosts that end with entries. */
    @Test(dataProvider = "momentsAtReadyEntries")
    public void halfOfTheStreamsGoOnWhenAllStoresButOneAreLostWithTheEntries(
            Moment moment, long seed) {
        List<BrokenStream> broken =
                play(
                        Change.NONE,
                        moment,
                        seed,
                        change -> {
                            IntStream.range(1, 4)
                                    .mapToObj(mSimulation::store)
                                    .forEach(mSimulation.fleet()::crash);
                            restartEntries(change);
                        });
        assertNoneIsMixed(broken);
        assertShareIsResumed(broken, MIN_RESUMED_SHARE);
    }

    @DataProvider
    Object[][] controls() {
        return new Object[][] {{0, true}, {1, true}, {2, true}, {0, false}, {1, false}, {2, false}};
    }

    /**
     * Guards against a new leader, or a control host that has restarted, that forgets a version.
     */
    @Test(dataProvider = "controls")
    public void noStreamChangesItsVersionWhenAControlHostIsLostAsWell(
            int control, boolean isRestarted) {
        List<BrokenStream> broken =
                play(
                        Change.OLD_GONE_BEFORE,
                        Moment.WHEN_READY,
                        1,
                        change -> {
                            mSimulation.fleet().crash(mSimulation.control(control));
                            if (isRestarted) {
                                mSimulation.startControl(mSimulation.control(control));
                            }
                            restartEntries(change);
                        });
        assertNoneIsMixed(broken);
        assertShareIsResumed(broken, MIN_RESUMED_SHARE);
    }
}
