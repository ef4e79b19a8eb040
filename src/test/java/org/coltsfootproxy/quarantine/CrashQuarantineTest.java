package org.coltsfootproxy.quarantine;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.coltsfootproxy.base.PromptPartId;
import org.coltsfootproxy.base.SuspectId;
import org.coltsfootproxy.base.TargetId;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Node;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests which parts of prompts are quarantined, and what hosts report to each other of it. */
public final class CrashQuarantineTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final List<Effect> mEffects = new ArrayList<>();
    private CrashQuarantine mQuarantine;
    private CrashQuarantine mOther;
    private long mNow;

    @BeforeMethod
    public void begin() {
        mEffects.clear();
        mQuarantine = CrashQuarantine.create();
        mOther = CrashQuarantine.create();
        mNow = 0;
    }

    private static CallContent content(String... parts) {
        return CallContent.ofItem(Stream.of(parts).map(PromptPartId::of).toList());
    }

    private void crash(CrashQuarantine host, int target, String... parts) {
        host.answerCut(TargetId.of("t" + target), "call-" + target, content(parts), mNow);
    }

    private void answer(CrashQuarantine host, String... parts) {
        host.answerProgressed(content(parts), mNow, mEffects::add);
    }

    /** Lets time pass in which both hosts tick and exchange their reports. */
    private void run(long nanos) {
        for (long end = mNow + nanos; mNow < end; mNow += 10 * MILLI) {
            tick();
            exchange(mQuarantine, mOther);
            exchange(mOther, mQuarantine);
        }
    }

    private void tick() {
        Stream.of(mQuarantine, mOther).forEach(host -> host.tick(mNow, mEffects::add));
    }

    private void exchange(CrashQuarantine from, CrashQuarantine to) {
        from.takeReport(mNow).ifPresent(report -> to.handle(report, mNow, mEffects::add));
    }

    private boolean isQuarantined(CrashQuarantine host, String part) {
        return host.firstQuarantined(content(part)).isPresent();
    }

    @Test
    public void aPartWithWhichThreeTargetsCrashedIsQuarantinedAtAllHosts() {
        crash(mQuarantine, 1, "f1", "bad");
        crash(mOther, 2, "f2", "bad");
        run(SECOND);
        assertFalse(isQuarantined(mQuarantine, "bad"));
        crash(mQuarantine, 3, "bad", "f3");
        run(SECOND);
        assertTrue(isQuarantined(mQuarantine, "bad"));
        assertTrue(isQuarantined(mOther, "bad"));
        assertFalse(isQuarantined(mOther, "f1"));
        assertEquals(
                mQuarantine.firstQuarantined(content("f1", "bad", "x")),
                Optional.of(SuspectId.of("bad")));
    }

    @Test
    public void partsWithWhichCallsAreAnsweredAreCleared() {
        for (int n = 1; n <= 6; n++) {
            crash(mQuarantine, n, "bad", "shared");
            run(300 * MILLI);
            answer(mOther, "shared", "own");
        }
        run(SECOND);
        assertTrue(isQuarantined(mQuarantine, "bad"));
        assertFalse(isQuarantined(mQuarantine, "shared"));
        assertFalse(isQuarantined(mOther, "shared"));
    }

    @Test
    public void aPartThatWasAnsweredElsewhereBeforeTheCrashesIsNoSuspect() {
        answer(mOther, "shared");
        for (int n = 1; n <= 3; n++) {
            crash(mQuarantine, n, "bad", "shared");
        }
        run(SECOND);
        assertTrue(isQuarantined(mQuarantine, "bad"));
        assertFalse(isQuarantined(mQuarantine, "shared"));
    }

    @Test
    public void ofPartsThatAlwaysOccurTogetherTheLastIsQuarantined() {
        for (int n = 1; n <= 3; n++) {
            crash(mQuarantine, n, "first", "bad");
        }
        run(SECOND);
        assertTrue(isQuarantined(mOther, "bad"));
        assertFalse(isQuarantined(mOther, "first"));
    }

    @Test
    public void repeatedCrashReportsOfOneTargetCountOnce() {
        for (int n = 0; n < 9; n++) {
            mQuarantine.answerCut(TargetId.of("t" + n % 2), "call-" + n, content("bad"), mNow);
        }
        run(SECOND);
        assertFalse(isQuarantined(mQuarantine, "bad"));
    }

    @Test
    public void crashesOfManyTargetsWithManyPartsQuarantineNothing() {
        IntStream.range(0, 60).forEach(n -> crash(mQuarantine, n, "p" + n % 12));
        run(SECOND);
        assertEquals(IntStream.range(0, 12).filter(n -> isQuarantined(mOther, "p" + n)).count(), 0);
    }

    @Test
    public void anAnsweredCallReleasesItsPartsAtAllHosts() {
        IntStream.range(0, 3).forEach(n -> crash(mQuarantine, n, "part"));
        run(SECOND);
        assertTrue(isQuarantined(mOther, "part"));
        answer(mOther, "part");
        run(5 * SECOND);
        assertFalse(isQuarantined(mOther, "part"));
        assertFalse(isQuarantined(mQuarantine, "part"));
    }

    @Test
    public void aPartThatTurnsBadIsQuarantinedOnceItsLastAnswerIsOld() {
        answer(mQuarantine, "part");
        IntStream.range(0, 5).forEach(n -> crash(mQuarantine, n, "part"));
        run(SECOND);
        assertFalse(isQuarantined(mQuarantine, "part"));
        mNow += SoundParts.VALIDITY_NANOS;
        IntStream.range(5, 10).forEach(n -> crash(mQuarantine, n, "part"));
        run(SECOND);
        assertTrue(isQuarantined(mQuarantine, "part"));
    }

    @Test
    public void aHostThatStartsLaterLearnsWhatIsQuarantined() {
        IntStream.range(0, 3).forEach(n -> crash(mQuarantine, n, "bad"));
        run(10 * SECOND);
        mOther = CrashQuarantine.create();
        run(2 * SECOND);
        assertTrue(isQuarantined(mOther, "bad"));
    }

    @Test
    public void aQuarantineEndsAtAllHostsAndIsNotRevivedByReports() {
        IntStream.range(0, 3).forEach(n -> crash(mQuarantine, n, "bad"));
        run(SECOND);
        mNow += CrashQuarantine.QUARANTINE_NANOS - 3 * SECOND;
        run(SECOND);
        assertTrue(isQuarantined(mOther, "bad"));
        run(4 * SECOND);
        assertFalse(isQuarantined(mQuarantine, "bad"));
        assertFalse(isQuarantined(mOther, "bad"));
    }

    @Test
    public void nothingIsDueWithoutCrashes() {
        answer(mQuarantine, "p1", "p2");
        crash(mQuarantine, 1);
        assertEquals(mQuarantine.nextTickNanos(), Node.NEVER);
        assertEquals(mQuarantine.nextReportNanos(), Node.NEVER);
    }

    @Test
    public void aLostReportIsMadeUpForByALaterOne() {
        crash(mQuarantine, 1, "bad");
        mQuarantine.takeReport(mNow);
        crash(mOther, 2, "bad");
        crash(mOther, 3, "bad");
        run(2 * SECOND);
        assertTrue(isQuarantined(mOther, "bad"));
    }

    @Test
    public void theNumberOfQuarantinedPartsIsBounded() {
        for (int part = 0; part < 80; part++) {
            String id = "bad" + part;
            int first = 3 * part;
            IntStream.range(first, first + 3).forEach(n -> crash(mQuarantine, n, id));
            run(SECOND);
        }
        long count =
                IntStream.range(0, 80).filter(n -> isQuarantined(mQuarantine, "bad" + n)).count();
        assertEquals(count, 64);
    }
}
