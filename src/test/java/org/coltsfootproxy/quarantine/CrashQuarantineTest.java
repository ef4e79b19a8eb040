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
        host.callCut(
                CutCall.ofItem(TargetId.of("t" + target), "call-" + target, content(parts)),
                mNow,
                mEffects::add);
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
            mQuarantine.callCut(
                    CutCall.ofItem(TargetId.of("t" + n % 2), "call-" + n, content("bad")),
                    mNow,
                    mEffects::add);
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

    private static CallContent request(long hash, String... parts) {
        return CallContent.ofRequest(Stream.of(parts).map(PromptPartId::of).toList(), hash);
    }

    private void cut(CrashQuarantine host, int target, CallContent content) {
        boolean recurred = host.isSuspect(content);
        var id = TargetId.of("t" + target);
        host.callCut(
                new CutCall(id, "call-" + target, content, true, recurred), mNow, mEffects::add);
    }

    private boolean isQuarantined(CrashQuarantine host, CallContent content) {
        return host.firstQuarantined(content).isPresent();
    }

    /** Guards against repeats at several hosts each being taken for a new request (BUDGET). */
    @Test
    public void aRequestOnWhichThreeTargetsCrashedIsQuarantinedAtAllHosts() {
        cut(mQuarantine, 1, request(7));
        run(SECOND);
        cut(mOther, 2, request(7));
        run(SECOND);
        assertFalse(isQuarantined(mQuarantine, request(7)));
        cut(mQuarantine, 3, request(7));
        run(SECOND);
        assertTrue(isQuarantined(mQuarantine, request(7)));
        assertTrue(isQuarantined(mOther, request(7)));
        assertFalse(isQuarantined(mOther, request(8)));
    }

    /** Guards against a request that is in flight everywhere being blamed for an outage. */
    @Test
    public void aRequestThatWasInFlightAtAllTargetsOfAnOutageIsNotQuarantined() {
        for (int n = 1; n <= 12; n++) {
            var id = TargetId.of("t" + n);
            mQuarantine.callCut(
                    new CutCall(id, "call-" + n, request(7), false, false), mNow, mEffects::add);
        }
        run(5 * SECOND);
        assertFalse(isQuarantined(mQuarantine, request(7)));
        assertFalse(isQuarantined(mOther, request(7)));
    }

    /** Guards against refusing the other requests with a part that only one request crashed on. */
    @Test
    public void aPartIsNotQuarantinedForTheCrashesOfOneRequest() {
        for (int n = 1; n <= 4; n++) {
            cut(mQuarantine, n, request(7, "shared"));
            run(SECOND);
        }
        assertTrue(isQuarantined(mOther, request(7)));
        assertFalse(isQuarantined(mOther, "shared"));
    }

    /** Guards against repeated requests hiding the part that they crash on. */
    @Test
    public void aPartIsQuarantinedThoughOneOfItsRequestsIsToo() {
        for (int n = 1; n <= 3; n++) {
            cut(mQuarantine, n, request(7, "bad"));
            run(SECOND);
        }
        cut(mQuarantine, 4, request(8, "bad"));
        run(SECOND);
        assertTrue(isQuarantined(mOther, "bad"));
    }

    @Test
    public void anAnsweredRequestIsReleasedAtAllHosts() {
        for (int n = 1; n <= 3; n++) {
            cut(mQuarantine, n, request(7));
            run(SECOND);
        }
        mOther.answerCompleted(request(7), mNow, mEffects::add);
        run(5 * SECOND);
        assertFalse(isQuarantined(mQuarantine, request(7)));
        assertFalse(isQuarantined(mOther, request(7)));
    }

    /** Guards against crashes adding up over answers that other hosts have seen in between. */
    @Test
    public void crashesBeforeAnAnswerDoNotCount() {
        for (int n = 1; n <= 9; n++) {
            cut(mQuarantine, n, request(7));
            run(50 * MILLI);
            mOther.answerCompleted(request(7), mNow, mEffects::add);
            run(50 * MILLI);
        }
        run(3 * SECOND);
        assertFalse(isQuarantined(mQuarantine, request(7)));
        assertFalse(isQuarantined(mOther, request(7)));
    }

    /** Guards against a crash that counts after the answer that came in the same report. */
    @Test
    public void anAnswerClearsTheCrashesOfTheSameReport() {
        cut(mQuarantine, 1, request(7));
        mQuarantine.answerCompleted(request(7), mNow, mEffects::add);
        exchange(mQuarantine, mOther);
        assertFalse(mOther.isSuspect(request(7)));
    }

    @Test
    public void severalCallsThatOneCrashCutCountOnce() {
        cut(mQuarantine, 1, request(7));
        run(SECOND);
        for (int n = 0; n < 5; n++) {
            mQuarantine.callCut(
                    new CutCall(TargetId.of("t2"), "call-" + n, request(7), false, true),
                    mNow,
                    mEffects::add);
        }
        run(SECOND);
        assertFalse(isQuarantined(mQuarantine, request(7)));
    }

    /** Guards against a small service whose targets start again under their ids. */
    @Test
    public void crashesOfOneTargetThatStartsAgainCount() {
        for (int n = 1; n <= 3; n++) {
            boolean recurred = mQuarantine.isSuspect(request(7));
            mQuarantine.callCut(
                    new CutCall(TargetId.of("t1"), "call-" + n, request(7), false, recurred),
                    mNow,
                    mEffects::add);
            run(3 * SECOND);
        }
        assertTrue(isQuarantined(mOther, request(7)));
    }

    @Test
    public void aHostThatStartsLaterLearnsWhichRequestsAreQuarantined() {
        for (int n = 1; n <= 3; n++) {
            cut(mQuarantine, n, request(7));
            run(SECOND);
        }
        mOther = CrashQuarantine.create();
        run(2 * SECOND);
        assertTrue(isQuarantined(mOther, request(7)));
    }
}
