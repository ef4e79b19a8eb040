package org.coltsfootproxy.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.coltsfootproxy.message.Header;
import org.coltsfootproxy.platform.PlatformWorld.Answer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Online requests over the whole path on a stand-in of the platform. */
public final class DirectCallsTest {
    private static final long MILLI = PlatformWorld.MILLI;
    private static final long SECOND = PlatformWorld.SECOND;

    private final Set<Integer> mComeBack = new HashSet<>();
    private PlatformWorld mWorld;

    @BeforeMethod
    public void begin() {
        mWorld = PlatformWorld.serving(7, 2);
    }

    private static String events(String request, int from, int to) {
        return IntStream.rangeClosed(from, to)
                .mapToObj(n -> "id: " + n + "\ndata: " + request + "-" + n + "\n\n")
                .collect(Collectors.joining());
    }

    private static void assertWhole(Answer answer, String request) {
        assertEquals(answer.mStatus, 200, answer.toString());
        assertTrue(answer.mIsWhole, answer.toString());
        assertEquals(answer.body(), events(request, 1, 10));
    }

    @Test
    public void aStreamComesWholeWithTheStampOfItsTarget() {
        Answer answer = mWorld.request(mWorld.entry(0), "q1", "/ask/1");
        mWorld.run(SECOND);

        assertWhole(answer, "q1");
        FakeEngine.Run run = mWorld.runsOf("q1").get(0);
        assertEquals(run.mTenant, "alpha");
        assertTrue(answer.header("Server-Stamp").orElse("").startsWith("lm-"));
        assertEquals(Wire.value(run.mCall.headers(), "Authorization").isPresent(), false);
        assertEquals(Wire.value(run.mCall.headers(), "Host").orElse(""), "svc.example");
    }

    @Test
    public void aTargetIsToldTheTimeThatIsLeft() {
        mWorld.request(mWorld.entry(0), "q1", "/ask/1");
        mWorld.run(SECOND);

        List<Header> headers = mWorld.runsOf("q1").get(0).mCall.headers();
        long left = Long.parseLong(Wire.value(headers, "Deadline-Ms").orElse("0"));
        assertTrue(left > 4_900 && left <= 5_000, "left " + left);
    }

    @Test
    public void aBrokenStreamThatMayBeResumedGoesOnElsewhereAfterItsLastWholeEvent() {
        mWorld.mEngines.values().forEach(engine -> engine.mBreakAt = 4);
        Answer answer = mWorld.request(mWorld.entry(0), "q1", "/ask/1");
        mWorld.run(50 * MILLI);
        mWorld.mEngines.values().stream()
                .filter(engine -> engine.mRuns.isEmpty())
                .forEach(engine -> engine.mBreakAt = 0);
        mWorld.run(SECOND);

        assertWhole(answer, "q1");
        List<FakeEngine.Run> runs = mWorld.runsOf("q1");
        assertEquals(runs.size(), 2);
        assertEquals(runs.get(1).mFrom, 3);
    }

    @Test
    public void aBrokenStreamThatMayNotBeResumedIsCutAndNeverRunsAgain() {
        mWorld.mEngines.values().forEach(engine -> engine.mBreakAt = 4);
        Answer answer = mWorld.request(mWorld.entry(0), "q1", "/swap/1");
        mWorld.run(6 * SECOND);

        assertTrue(answer.mIsCut, answer.toString());
        assertFalse(answer.mIsWhole);
        assertEquals(answer.body(), events("q1", 1, 3));
        assertEquals(mWorld.runsOf("q1").size(), 1);
    }

    @Test
    public void aRequestThatMayNotBeRepeatedIsAnsweredAsLostIfItsAnswerIsLost() {
        mWorld.engine("app-1").mLosesAnswer = true;
        Answer answer = mWorld.request(mWorld.entry(0), "q1", "/pay/1");
        mWorld.run(SECOND);

        assertEquals(answer.mStatus, 502, answer.toString());
        assertEquals(mWorld.runsOf("q1").size(), 1);
    }

    @Test
    public void aRequestThatMayBeRepeatedRunsAgainIfItsAnswerIsLost() {
        mWorld.engine("app-2", PlatformWorld.APP, "z2").mIsPlain = true;
        mWorld.run(3 * SECOND);
        mWorld.engine("app-1").mLosesAnswer = true;
        mWorld.engine("app-2").mLosesAnswer = false;
        Answer answer = mWorld.request(mWorld.entry(0), "q1", "/card/1");
        mWorld.run(SECOND);

        assertEquals(answer.mStatus, 200, answer.toString());
        assertTrue(mWorld.runsOf("q1").size() <= 2);
    }

    @Test
    public void aRefusalOfOneTargetSendsTheRequestToAnotherWhateverItsKind() {
        FakeEngine full = mWorld.engine("lm-1");
        full.mSlots = 0;
        full.mQueue = 0;
        List<Answer> answers = new ArrayList<>();
        for (int n = 0; n < 6; n++) {
            answers.add(mWorld.request(mWorld.entry(0), "q" + n, "/swap/1"));
        }
        mWorld.run(2 * SECOND);

        for (int n = 0; n < answers.size(); n++) {
            assertWhole(answers.get(n), "q" + n);
            assertEquals(mWorld.runsOf("q" + n).size(), 1);
        }
    }

    @Test
    public void whereEveryTargetRefusesTheCallerIsToldThatNothingRanAndWhenToComeBack() {
        mWorld.mEngines.values().forEach(engine -> engine.mSlots = 0);
        mWorld.mEngines.values().forEach(engine -> engine.mQueue = 0);
        Answer answer = mWorld.request(mWorld.entry(0), "q1", "/swap/1");
        mWorld.run(SECOND);

        assertEquals(answer.mStatus, 503, answer.toString());
        assertTrue(mWorld.runsOf("q1").isEmpty());
        double seconds = Double.parseDouble(answer.header("Retry-After").orElse("0"));
        assertTrue(seconds > 0 && seconds < 5 / 3.0, "Retry-After " + seconds);
        assertTrue(answer.mEndAt - answer.mAsked < 75 * MILLI, "refused late");
    }

    @Test
    public void anAddressThatAnotherTargetHasTakenRunsNothingForTheOldOne() {
        FakeEngine gone = mWorld.engine("lm-1");
        mWorld.takeAddress(gone, "lm-9");
        List<Answer> answers = new ArrayList<>();
        for (int n = 0; n < 6; n++) {
            answers.add(mWorld.request(mWorld.entry(0), "q" + n, "/swap/1"));
        }
        mWorld.run(900 * MILLI);

        for (int n = 0; n < answers.size(); n++) {
            assertWhole(answers.get(n), "q" + n);
        }
    }

    @Test
    public void aCallerThatLeavesFreesItsTarget() {
        mWorld.request(mWorld.entry(0), "q1", "/swap/1");
        mWorld.run(50 * MILLI);
        mWorld.leave(mWorld.entry(0));
        mWorld.run(20 * MILLI);

        assertTrue(mWorld.runsOf("q1").get(0).mIsOver);
    }

    @Test
    public void aTargetThatFallsSilentIsLeftForAnotherIfTheRequestMayBeRepeated() {
        mWorld.mEngines.values().forEach(engine -> engine.mIsSilent = engine.mId.equals("lm-1"));
        List<Answer> answers = new ArrayList<>();
        for (int n = 0; n < 4; n++) {
            answers.add(mWorld.request(mWorld.entry(0), "q" + n, "/ask/1"));
        }
        mWorld.run(2 * SECOND);

        for (int n = 0; n < answers.size(); n++) {
            assertWhole(answers.get(n), "q" + n);
        }
    }

    @Test
    public void aRequestThatOutlastsItsTimeIsAnsweredAtOnce() {
        mWorld.engine("app-1").mEventNanos = 20 * SECOND;
        Answer answer = mWorld.request(mWorld.entry(0), "q1", "/pay/1");
        mWorld.run(5_100 * MILLI);

        assertEquals(answer.mStatus, 504, answer.toString());
    }

    @Test
    public void aRateHoldsOverAllEntriesTogether() {
        mWorld.operate("PUT", "/coltsfootproxy/config", PlatformWorld.config(2, 20));
        mWorld.run(3 * SECOND);
        List<Answer> answers = new ArrayList<>();
        for (int n = 0; n < 500; n++) {
            answers.add(mWorld.request(mWorld.entry(n % 2), "q" + n, "/card/1"));
            mWorld.run(10 * MILLI);
        }
        mWorld.run(SECOND);

        long served = answers.stream().filter(answer -> answer.mStatus == 200).count();
        long refused = answers.stream().filter(answer -> answer.mStatus == 429).count();
        assertEquals(served + refused, 500);
        // 5 s at 20 a second and a burst of 20, with the tolerance of the rule; nothing much less.
        assertTrue(served <= (5 * 20 + 20) * 1.1 + 20, "served " + served);
        assertTrue(served >= 0.9 * (5 * 20 + 20), "served " + served);
    }

    @Test
    public void entriesThatAllStartAgainGrantTheWholeBurstWhicheverIsAsked() {
        mWorld.operate("PUT", "/coltsfootproxy/config", PlatformWorld.config(2, 20));
        mWorld.run(3 * SECOND);
        List.of(0, 1).forEach(n -> mWorld.fleet().crash(mWorld.entry(n)));
        mWorld.run(SECOND);
        mWorld.startEntry(mWorld.entry(0));
        List<Answer> answers = new ArrayList<>();
        for (int n = 0; n < 15; n++) {
            answers.add(mWorld.request(mWorld.entry(0), "q" + n, "/card/1"));
        }
        mWorld.run(150 * MILLI);
        mWorld.startEntry(mWorld.entry(1));
        for (int n = 15; n < 18; n++) {
            answers.add(mWorld.request(mWorld.entry(1), "q" + n, "/card/1"));
        }
        mWorld.run(2 * SECOND);

        answers.forEach(answer -> assertEquals(answer.mStatus, 200, answer.toString()));
    }

    @Test
    public void keysAndRoutesAreJudgedOnlyByAConfirmedConfiguration() {
        Answer unknown = mWorld.request(mWorld.entry(0), "q1", "/ask/1", "no-such-key");
        Answer nowhere = mWorld.request(mWorld.entry(0), "q2", "/nowhere/1");
        mWorld.run(SECOND);
        assertEquals(unknown.mStatus, 401);
        assertEquals(nowhere.mStatus, 404);

        for (int n = 0; n < 3; n++) {
            mWorld.fleet().crash(mWorld.control(n));
        }
        mWorld.run(6 * SECOND);
        Answer later = mWorld.request(mWorld.entry(0), "q3", "/ask/1");
        Answer nowhereLater = mWorld.request(mWorld.entry(0), "q4", "/nowhere/1");
        mWorld.run(SECOND);
        assertEquals(later.mStatus, 503, later.toString());
        assertEquals(nowhereLater.mStatus, 503, nowhereLater.toString());
        assertFalse(mWorld.isReady(mWorld.entry(0)));
    }

    @Test
    public void aCallThatComesJustBeforeAStartedEntryIsReadyWaitsForIt() {
        mWorld.fleet().crash(mWorld.entry(0));
        mWorld.run(SECOND);
        mWorld.startEntry(mWorld.entry(0));
        Answer answer = mWorld.request(mWorld.entry(0), "q1", "/ask/1");
        mWorld.run(1_500 * MILLI);

        assertWhole(answer, "q1");
        List<Header> headers = mWorld.runsOf("q1").get(0).mCall.headers();
        long left = Long.parseLong(Wire.value(headers, "Deadline-Ms").orElse("0"));
        long waited = mWorld.runsOf("q1").get(0).mAt - answer.mAsked;
        assertTrue(left <= 5_001 - waited / MILLI, "left " + left + " after " + waited);
    }

    @Test
    public void anEntryThatStaysWithoutControlHostsRefusesAtOnce() {
        for (int n = 0; n < 3; n++) {
            mWorld.fleet().crash(mWorld.control(n));
        }
        mWorld.fleet().crash(mWorld.entry(0));
        mWorld.startEntry(mWorld.entry(0));
        Answer early = mWorld.request(mWorld.entry(0), "q1", "/ask/1");
        mWorld.run(3 * SECOND);
        assertEquals(early.mStatus, 503, early.toString());
        assertTrue(early.mEndAt - early.mAsked <= SECOND, "waited " + early.mEndAt);

        Answer later = mWorld.request(mWorld.entry(0), "q2", "/ask/1");
        mWorld.run(SECOND);
        assertEquals(later.mStatus, 503, later.toString());
        assertTrue(later.mEndAt - later.mAsked < 5 * MILLI, "waited " + later.mEndAt);
    }

    @Test
    public void aWithdrawnKeyStopsAtAHostThatIsCutOff() {
        for (int n = 0; n < 3; n++) {
            mWorld.fleet().cut(mWorld.entry(0), mWorld.control(n));
        }
        Answer put =
                mWorld.operate(
                        "PUT", "/coltsfootproxy/config", PlatformWorld.config(2, 1_000, "other"));
        mWorld.run(SECOND);
        assertEquals(put.mStatus, 200, put.toString());
        mWorld.run(4 * SECOND);
        Answer answer = mWorld.request(mWorld.entry(0), "q1", "/ask/1");
        mWorld.run(SECOND);

        assertTrue(mWorld.runsOf("q1").isEmpty(), answer.toString());
        assertEquals(answer.mStatus, 503);
    }

    @Test
    public void onlineRequestsOfABurstGetTheSlotsOfBatchItemsAtOnce() {
        mWorld.mEngines.values().forEach(engine -> engine.mEvents = 200);
        mWorld.submit(mWorld.entry(0), "j1", 40);
        mWorld.run(3 * SECOND);
        assertTrue(mWorld.engine("lm-1").running() >= 6, "items hold the slots");
        mWorld.mEngines.values().forEach(engine -> engine.mEvents = 10);
        List<Answer> answers = new ArrayList<>();
        for (int n = 0; n < 14; n++) {
            answers.add(mWorld.request(mWorld.entry(n % 2), "q" + n, "/swap/1"));
            mWorld.run(15 * MILLI);
        }
        mWorld.run(2 * SECOND);

        for (int n = 0; n < answers.size(); n++) {
            Answer answer = answers.get(n);
            assertWhole(answer, "q" + n);
            assertTrue(answer.mFirstAt - answer.mAsked < 100 * MILLI, "q" + n + " waited");
        }
    }

    @Test
    public void aSuccessWithoutTheSignatureOfATargetIsNoAnswer() {
        mWorld.mEngines.values().forEach(engine -> engine.mIsUnsigned = true);
        Answer once = mWorld.request(mWorld.entry(0), "q1", "/swap/1");
        mWorld.run(SECOND);
        assertEquals(once.mStatus, 502, once.toString());
        assertEquals(mWorld.runsOf("q1").size(), 1);
        mWorld.engine("lm-2").mIsUnsigned = false;
        for (int n = 0; n < 4; n++) {
            Answer repeated = mWorld.request(mWorld.entry(0), "r" + n, "/ask/1");
            mWorld.run(SECOND);
            assertEquals(repeated.mStatus, 200, repeated.toString());
            assertEquals(repeated.header("Server-Stamp").orElse(""), "lm-2");
        }
    }

    @Test
    public void aSlowTargetGetsWhatItCanDoAndDelaysNobody() {
        mWorld.engine("lm-1").mEventNanos = 100 * MILLI;
        List<Answer> answers = new ArrayList<>();
        // One serves 8 a second and the other one 40; 30 come.
        for (int n = 0; n < 90; n++) {
            answers.add(mWorld.request(mWorld.entry(n % 2), "q" + n, "/swap/1"));
            mWorld.run(33 * MILLI);
        }
        mWorld.run(3 * SECOND);

        for (int n = 0; n < answers.size(); n++) {
            Answer answer = answers.get(n);
            assertWhole(answer, "q" + n);
            assertTrue(answer.mFirstAt - answer.mAsked < 300 * MILLI, "q" + n + " waited");
        }
        int slow = mWorld.engine("lm-1").mRuns.size();
        assertTrue(slow <= 40, slow + " of 90 went to the slow target");
    }

    @Test
    public void moreRequestsThanTheTargetsCanBeginAreRefusedAtOnceAndServedWhenTheyComeBack() {
        List<Answer> answers = new ArrayList<>();
        List<Answer> again = new ArrayList<>();
        // 16 slots that each run a request in 0.2 s serve 80 a second; 150 come in one.
        for (int n = 0; n < 150; n++) {
            answers.add(mWorld.request(mWorld.entry(n % 2), "q" + n, "/swap/1"));
            mWorld.run(7 * MILLI);
            comeBack(answers, again);
        }
        for (int n = 0; n < 500; n++) {
            mWorld.run(10 * MILLI);
            comeBack(answers, again);
        }

        for (Answer answer : answers) {
            boolean isRefused = answer.mStatus == 503;
            assertTrue(isRefused || answer.mStatus == 200, answer.toString());
            long waited = (isRefused ? answer.mEndAt : answer.mFirstAt) - answer.mAsked;
            assertTrue(waited < (isRefused ? 5 : 350) * MILLI, waited + " for " + answer);
        }
        assertTrue(again.size() >= 30, "refused " + again.size());
        again.forEach(answer -> assertEquals(answer.mStatus, 200, answer.toString()));
    }

    /** Sends each refused request again, at the other entry, when its caller was told to. */
    private void comeBack(List<Answer> answers, List<Answer> again) {
        for (int n = 0; n < answers.size(); n++) {
            Answer answer = answers.get(n);
            double seconds = answer.header("Retry-After").map(Double::parseDouble).orElse(0.0);
            boolean isDue = mWorld.fleet().now() >= answer.mEndAt + seconds * SECOND;
            if (answer.mStatus == 503 && seconds > 0 && isDue && mComeBack.add(n)) {
                again.add(mWorld.request(mWorld.entry((n + 1) % 2), "q" + n, "/swap/1"));
            }
        }
    }
}
