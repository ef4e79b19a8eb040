package org.coltsfootproxy.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.platform.PlatformSimulation.Answer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests the evacuation of data centres: from {@link #EVACUATED_NANOS} after its acknowledgement
 * until its withdrawal, no target there gets a request.
 */
public final class EvacuationTest {
    private static final long MILLI_NANOS = PlatformSimulation.MILLI_NANOS;
    private static final long SECOND_NANOS = PlatformSimulation.SECOND_NANOS;

    /** Time after an acknowledged evacuation from which no target there may get a request. */
    private static final long EVACUATED_NANOS = 5 * SECOND_NANOS;

    /** Time in which an order is acknowledged while the control group is stable. */
    private static final long ACKNOWLEDGED_NANOS = 5 * SECOND_NANOS;

    private static final String DRAIN_PATH = "/coltsfootproxy/drain/";

    private PlatformSimulation mSimulation;
    private int mRequests;

    @BeforeMethod
    public void startSimulation() {
        mSimulation = PlatformSimulation.startEvacuable(53, 2);
        mRequests = 0;
    }

    private Answer order(int control, String method, String dataCentre) {
        HostId host = mSimulation.control(control);
        return mSimulation.callAsOperator(host, method, DRAIN_PATH + dataCentre, "");
    }

    /** Orders an evacuation and returns when it was acknowledged. */
    private long evacuate(String dataCentre) {
        Answer answer = order(0, "POST", dataCentre);
        mSimulation.run(SECOND_NANOS);
        assertEquals(answer.mStatus, 200, answer.toString());
        return answer.mEndNanos;
    }

    private void withdraw(String dataCentre) {
        Answer answer = order(1, "DELETE", dataCentre);
        mSimulation.run(SECOND_NANOS);
        assertEquals(answer.mStatus, 200, answer.toString());
    }

    /** Submits job j1, whose items take 1.2 s each. */
    private void submitLongItems(int items) {
        mSimulation.mTargets.values().forEach(target -> target.mItemEventCount = 60);
        Answer answer = mSimulation.submit(mSimulation.entry(0), "j1", items);
        mSimulation.run(SECOND_NANOS);
        assertEquals(answer.mStatus, 202, answer.toString());
    }

    /** Sends requests of all kinds at every entry for some time. */
    private List<Answer> sendRequests(long nanos) {
        List<Answer> answers = new ArrayList<>();
        for (long sent = 0; sent < nanos; sent += 50 * MILLI_NANOS) {
            for (String path : List.of("/ask/1", "/swap/1", "/card/1", "/pay/1", "/free/1")) {
                String name = "q" + ++mRequests;
                answers.add(mSimulation.request(mSimulation.entry(mRequests % 2), name, path));
            }
            mSimulation.run(50 * MILLI_NANOS);
        }
        return answers;
    }

    private List<SimulatedTarget.Run> arrivalsSince(String dataCentre, long nanos) {
        return mSimulation.mTargets.values().stream()
                .filter(target -> target.mDataCentre.equals(dataCentre))
                .flatMap(target -> target.mArrivals.stream())
                .filter(run -> run.mArrivalNanos >= nanos)
                .toList();
    }

    private void assertNoArrivals(String dataCentre, long acknowledgedNanos) {
        List<SimulatedTarget.Run> late =
                arrivalsSince(dataCentre, acknowledgedNanos + EVACUATED_NANOS);
        List<String> requests = late.stream().map(run -> run.mRequest).toList();
        assertTrue(late.isEmpty(), late.size() + " requests reached " + dataCentre + requests);
    }

    private static void assertComplete(Answer answer) {
        assertEquals(answer.mStatus, 200, answer.toString());
        assertTrue(answer.mIsComplete, answer.toString());
    }

    /** Guards against requests of any kind that go on being sent to an evacuated data centre. */
    @Test
    public void onlineRequestsGoToOtherDataCentresOnly() {
        mSimulation.target("app-2", PlatformSimulation.APP_SERVICE, "z2").mIsPlain = true;
        mSimulation.run(2 * SECOND_NANOS);
        long acknowledged = evacuate("z1");
        List<Answer> answers = sendRequests(7 * SECOND_NANOS);
        mSimulation.run(2 * SECOND_NANOS);

        assertNoArrivals("z1", acknowledged);
        answers.forEach(EvacuationTest::assertComplete);
    }

    /** Guards against an evacuation that cuts off or moves what already runs. */
    @Test
    public void streamsThatRunInAnEvacuatedDataCentreEndThere() {
        mSimulation.mTargets.values().forEach(target -> target.mEventCount = 150);
        Answer[] answers = new Answer[8];
        for (int n = 0; n < answers.length; n++) {
            answers[n] = mSimulation.request(mSimulation.entry(n % 2), "s" + n, "/swap/1");
        }
        mSimulation.run(100 * MILLI_NANOS);
        assertTrue(mSimulation.target("lm-1").running() > 0, "nothing runs in z1");
        long acknowledged = evacuate("z1");
        mSimulation.run(6 * SECOND_NANOS);

        for (int n = 0; n < answers.length; n++) {
            assertComplete(answers[n]);
            assertEquals(mSimulation.runsOf("s" + n).size(), 1);
        }
        assertNoArrivals("z1", acknowledged);
    }

    /** Guards against a broken stream that is continued in an evacuated data centre. */
    @Test
    public void aBrokenStreamIsNotContinuedThere() {
        long acknowledged = evacuate("z1");
        mSimulation.run(EVACUATED_NANOS);
        mSimulation.target("lm-2").mCutAtEvent = 4;
        Answer answer = mSimulation.request(mSimulation.entry(0), "q1", "/ask/1");
        mSimulation.run(6 * SECOND_NANOS);

        assertFalse(answer.mIsComplete, answer.toString());
        assertNoArrivals("z1", acknowledged);
    }

    /** Guards against a stream that is resumed at its own version in an evacuated data centre. */
    @Test
    public void aCallerResumesNoStreamAtAVersionThatServesOnlyThere() {
        mSimulation.target("lm-1").mVersion = "v1";
        mSimulation.target("lm-2").mVersion = "v2";
        mSimulation.run(3 * SECOND_NANOS);
        mSimulation.target("lm-1").mEventIntervalNanos = 100 * MILLI_NANOS;
        mSimulation.target("lm-2").mEventIntervalNanos = 100 * MILLI_NANOS;
        for (int n = 0; n < 8; n++) {
            mSimulation.request(mSimulation.entry(n % 2), "s" + n, "/ask/1");
        }
        mSimulation.run(500 * MILLI_NANOS);
        List<String> begunInZ1 =
                mSimulation.target("lm-1").mRuns.stream().map(run -> run.mRequest).toList();
        assertFalse(begunInZ1.isEmpty());
        long acknowledged = evacuate("z1");
        mSimulation.run(EVACUATED_NANOS);
        for (String first : begunInZ1) {
            Answer answer =
                    mSimulation.resume(mSimulation.entry(0), first + "r", "/ask/1", first, 2);
            mSimulation.run(SECOND_NANOS);
            assertEquals(answer.mStatus, 503, answer.toString());
            assertEquals(mSimulation.runsOf(first + "r").size(), 0);
        }
        assertNoArrivals("z1", acknowledged);
    }

    /** Guards against a retry after a lost or refused attempt that goes to the evacuated place. */
    @Test
    public void retriesDoNotGoThere() {
        mSimulation.target("app-2", PlatformSimulation.APP_SERVICE, "z2").mIsPlain = true;
        mSimulation.run(2 * SECOND_NANOS);
        long acknowledged = evacuate("z1");
        mSimulation.run(EVACUATED_NANOS);
        for (int n = 0; n < 20; n++) {
            mSimulation.target("app-2").mCutsNextAnswer = n % 2 == 0;
            mSimulation.target("lm-2").mCutAtEvent = n % 3;
            mSimulation.target("app-2").mIsDown = n % 5 == 4;
            sendRequests(100 * MILLI_NANOS);
        }
        mSimulation.run(6 * SECOND_NANOS);

        assertNoArrivals("z1", acknowledged);
    }

    /** Guards against calls that wait for a target's limit and are then sent there. */
    @Test
    public void waitingCallsAreNotSentThere() {
        mSimulation.mTargets.values().forEach(target -> target.mRequestsPerSecond = 2);
        sendRequests(2 * SECOND_NANOS);
        Answer order = order(0, "POST", "z1");
        sendRequests(8 * SECOND_NANOS);
        mSimulation.run(6 * SECOND_NANOS);

        assertEquals(order.mStatus, 200, order.toString());
        assertNoArrivals("z1", order.mEndNanos);
    }

    /** Guards against hosts that start and send before they know of the evacuation. */
    @Test
    public void startedHostsAndTheirEarlyCallsSendNothingThere() {
        long acknowledged = evacuate("z1");
        submitLongItems(200);
        mSimulation.run(EVACUATED_NANOS);
        for (int n = 0; n < 4; n++) {
            HostId entry = mSimulation.entry(n % 2);
            HostId store = mSimulation.store(n);
            mSimulation.fleet().crash(entry);
            mSimulation.fleet().crash(store);
            mSimulation.run(SECOND_NANOS);
            mSimulation.startEntry(entry);
            mSimulation.startStore(store);
            sendRequests(2 * SECOND_NANOS);
        }

        assertNoArrivals("z1", acknowledged);
    }

    /** Guards against batch items that are sent or continued there. */
    @Test
    public void itemsRunElsewhere() {
        submitLongItems(200);
        mSimulation.run(2 * SECOND_NANOS);
        assertTrue(mSimulation.target("lm-1").running() > 0, "no item runs in z1");
        long acknowledged = evacuate("z1");
        mSimulation.run(40 * SECOND_NANOS);
        Answer state =
                mSimulation.callJob(
                        mSimulation.entry(0), "GET", "/coltsfootproxy/lots/j1?after=0", 0);
        mSimulation.run(SECOND_NANOS);

        assertNoArrivals("z1", acknowledged);
        assertTrue(state.body().contains("\"next_token\":200"), state.body());
        for (int n = 0; n < 200; n++) {
            assertEquals(mSimulation.runsOf("j1-i" + n).size(), 1, "runs of item " + n);
        }
    }

    /** Guards against requests that wait in vain, and items that are lost, if nothing may serve. */
    @Test
    public void requestsAreRefusedAtOnceAndItemsWaitIfAllAreEvacuated() {
        long first = evacuate("z1");
        long second = evacuate("z2");
        mSimulation.run(EVACUATED_NANOS);
        mSimulation.submit(mSimulation.entry(0), "j1", 20);
        List<Answer> answers = sendRequests(3 * SECOND_NANOS);

        for (Answer answer : answers) {
            assertEquals(answer.mStatus, 503, answer.toString());
            assertTrue(answer.body().contains("data-centre-evacuated"), answer.toString());
            assertTrue(answer.body().contains("\"ran\":\"no\""), answer.toString());
            assertTrue(answer.mEndNanos - answer.mSentNanos <= 10 * MILLI_NANOS, "late refusal");
        }
        assertNoArrivals("z1", first);
        assertNoArrivals("z2", second);
        withdraw("z2");
        mSimulation.run(10 * SECOND_NANOS);
        assertNoArrivals("z1", first);
        IntStream.range(0, 20).forEach(n -> assertEquals(mSimulation.runsOf("j1-i" + n).size(), 1));
    }

    /** Guards against an order for a name that nobody has, which would seem to have worked. */
    @Test
    public void anUnknownDataCentreIsNotFoundAndNothingTakesEffect() {
        for (String name : List.of("z9", "Z 1", "")) {
            for (String method : List.of("POST", "DELETE")) {
                Answer answer = order(2, method, name);
                mSimulation.run(SECOND_NANOS);
                assertEquals(answer.mStatus, 404, answer.toString());
                assertTrue(answer.body().contains("'" + name + "'"), answer.body());
            }
        }
        List<Answer> answers = sendRequests(SECOND_NANOS);
        mSimulation.run(SECOND_NANOS);
        answers.forEach(EvacuationTest::assertComplete);
    }

    /** Guards against an accepted order that is refused when it is sent again. */
    @Test
    public void resentOrdersAreAcknowledgedByEveryControlHost() {
        for (String method : List.of("DELETE", "POST", "POST", "DELETE", "DELETE", "POST")) {
            for (int n = 0; n < 3; n++) {
                Answer answer = order(n, method, "z1");
                mSimulation.run(100 * MILLI_NANOS);
                assertEquals(answer.mStatus, 200, method + " at " + n + ": " + answer);
            }
        }
        long acknowledged = mSimulation.now();
        mSimulation.run(EVACUATED_NANOS);
        sendRequests(SECOND_NANOS);
        assertNoArrivals("z1", acknowledged);
    }

    /** Guards against an order that is refused after all targets of its data centre have left. */
    @Test
    public void anOrderIsAcknowledgedAgainAfterItsTargetsHaveLeft() {
        evacuate("z2");
        mSimulation.mTargets.values().removeIf(target -> target.mDataCentre.equals("z2"));
        mSimulation.run(3 * SECOND_NANOS);
        mSimulation.restartAllHosts();
        mSimulation.run(5 * SECOND_NANOS);
        for (String method : List.of("POST", "DELETE", "DELETE")) {
            Answer answer = order(1, method, "z2");
            mSimulation.run(SECOND_NANOS);
            assertEquals(answer.mStatus, 200, answer.toString());
        }
    }

    @DataProvider
    public Object[][] lossTimes() {
        return IntStream.range(0, 12)
                .mapToObj(n -> new Object[] {n * 700_000L, n % 3})
                .toArray(Object[][]::new);
    }

    /** Guards against an order that is lost, or never acknowledged, when the leader is lost. */
    @Test(dataProvider = "lossTimes")
    public void anOrderSurvivesTheLossOfAControlHostHalfway(long nanos, int lost) {
        Answer first = order(1, "POST", "z1");
        mSimulation.run(nanos);
        mSimulation.fleet().crash(mSimulation.control(lost));
        Answer acknowledged = first;
        long begin = mSimulation.now();
        for (int n = 0; !acknowledged.mIsComplete || acknowledged.mStatus != 200; n++) {
            assertTrue(mSimulation.now() - begin < ACKNOWLEDGED_NANOS, first + " " + acknowledged);
            acknowledged = order((lost + 1 + n % 2) % 3, "POST", "z1");
            mSimulation.run(500 * MILLI_NANOS);
        }
        sendRequests(7 * SECOND_NANOS);
        assertNoArrivals("z1", acknowledged.mEndNanos);
        mSimulation.startControl(mSimulation.control(lost));
        mSimulation.run(3 * SECOND_NANOS);
        sendRequests(SECOND_NANOS);
        assertNoArrivals("z1", acknowledged.mEndNanos);
    }

    /** Guards against an evacuation that a loss of all power ends. */
    @Test
    public void anEvacuationSurvivesALossOfAllPower() {
        long acknowledged = evacuate("z1");
        mSimulation.submit(mSimulation.entry(0), "j1", 100);
        mSimulation.run(EVACUATED_NANOS);
        mSimulation.restartAllHosts();
        List<Answer> answers = sendRequests(8 * SECOND_NANOS);
        mSimulation.run(SECOND_NANOS);

        assertNoArrivals("z1", acknowledged);
        assertTrue(answers.stream().anyMatch(answer -> answer.mStatus == 200), "none was served");
    }

    /** Guards against a data centre that stays unused after the evacuation has ended. */
    @Test
    public void aWithdrawnEvacuationLetsRequestsThroughAgain() {
        long acknowledged = evacuate("z1");
        sendRequests(6 * SECOND_NANOS);
        assertNoArrivals("z1", acknowledged);
        withdraw("z1");
        long withdrawn = mSimulation.now();
        List<Answer> answers = sendRequests(SECOND_NANOS);
        mSimulation.run(SECOND_NANOS);

        assertFalse(arrivalsSince("z1", withdrawn).isEmpty());
        answers.forEach(EvacuationTest::assertComplete);
        assertTrue(mSimulation.mLoggedEvents.contains(EventCode.EVACUATIONS_CHANGED));
    }

    /** Guards against a new configuration that ends an evacuation or hides it from a host. */
    @Test
    public void aConfigurationThatReplacesEverythingKeepsEvacuations() {
        long acknowledged = 0;
        for (int version = 2; version < 40; version++) {
            HostId control = mSimulation.control(version % 3);
            String document = SimulatedConfig.config(version, 1_000 + version);
            Answer put =
                    mSimulation.callAsOperator(control, "PUT", "/coltsfootproxy/config", document);
            if (version == 5) {
                acknowledged = evacuate("z1");
            }
            sendRequests(200 * MILLI_NANOS);
            assertEquals(put.mStatus, 200, put.toString());
        }
        Answer read =
                mSimulation.callAsOperator(
                        mSimulation.control(0), "GET", "/coltsfootproxy/config", "");
        mSimulation.run(SECOND_NANOS);

        assertEquals(read.body(), SimulatedConfig.config(39, 1_039));
        assertNoArrivals("z1", acknowledged);
    }

    /** Guards against hosts that send on an outdated configuration while they are cut off. */
    @Test
    public void hostsThatCannotConfirmTheirConfigurationSendNothing() {
        submitLongItems(200);
        List<HostId> cutOff =
                List.of(mSimulation.entry(0), mSimulation.store(0), mSimulation.store(1));
        cutOff.forEach(
                host ->
                        IntStream.range(0, 3)
                                .forEach(
                                        n ->
                                                mSimulation
                                                        .fleet()
                                                        .partition(host, mSimulation.control(n))));
        long acknowledged = evacuate("z1");
        sendRequests(10 * SECOND_NANOS);
        assertNoArrivals("z1", acknowledged);
        cutOff.forEach(
                host ->
                        IntStream.range(0, 3)
                                .forEach(
                                        n ->
                                                mSimulation
                                                        .fleet()
                                                        .heal(host, mSimulation.control(n))));
        sendRequests(5 * SECOND_NANOS);
        assertNoArrivals("z1", acknowledged);
    }

    /** Guards against orders that take effect although only a minority of control hosts is left. */
    @Test
    public void withoutAQuorumOfControlHostsNoOrderIsAcknowledged() {
        mSimulation.fleet().crash(mSimulation.control(1));
        mSimulation.fleet().crash(mSimulation.control(2));
        Answer answer = order(0, "POST", "z1");
        mSimulation.run(12 * SECOND_NANOS);

        assertEquals(answer.mStatus, 503, answer.toString());
        mSimulation.startControl(mSimulation.control(1));
        mSimulation.run(4 * SECOND_NANOS);
        long acknowledged = evacuate("z1");
        sendRequests(6 * SECOND_NANOS);
        assertNoArrivals("z1", acknowledged);
    }
}
