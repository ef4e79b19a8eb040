package org.coltsfootproxy.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.platform.PlatformSimulation.Answer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Configurations as whole documents, and the hosts and targets that come and go. */
public final class FleetConfigTest {
    private static final long SECOND_NANOS = PlatformSimulation.SECOND_NANOS;
    private static final String PATH = "/coltsfootproxy/config";

    private PlatformSimulation mSimulation;

    @BeforeMethod
    public void startSimulation() {
        mSimulation = PlatformSimulation.serving(31, 2);
    }

    private Answer put(int control, String document) {
        Answer answer = mSimulation.operate(mSimulation.control(control), "PUT", PATH, document);
        mSimulation.run(SECOND_NANOS);
        return answer;
    }

    private String readBack(int control) {
        Answer answer = mSimulation.operate(mSimulation.control(control), "GET", PATH, "");
        mSimulation.run(SECOND_NANOS);
        assertEquals(answer.mStatus, 200, answer.toString());
        return answer.body();
    }

    @Test
    public void theNewestDocumentIsReadBackAsItWasSentAtEveryControlHost() {
        String document = PlatformSimulation.config(5, 30) + "  \n";
        assertEquals(put(1, document).mStatus, 200);

        for (int n = 0; n < 3; n++) {
            assertEquals(readBack(n), document);
        }
    }

    @Test
    public void aNumberThatIsNotHigherIsAcknowledgedAndChangesNothing() {
        String newest = PlatformSimulation.config(5, 30);
        put(0, newest);
        Answer older = put(1, PlatformSimulation.config(4, 99));
        Answer same = put(2, PlatformSimulation.config(5, 99));

        assertEquals(older.mStatus, 200);
        assertEquals(same.mStatus, 200);
        assertEquals(readBack(0), newest);
    }

    @DataProvider
    Object[][] invalid() {
        String valid = PlatformSimulation.config(9, 30);
        return new Object[][] {
            {"cut off", valid.substring(0, valid.length() / 2)},
            {"unknown service", valid.replaceFirst("\"service\":\"lm\"", "\"service\":\"none\"")},
            {"same host and prefix", valid.replace("/swap/", "/ask/")},
            {"timeout of 0", valid.replaceFirst("\"timeout_ms\":5000", "\"timeout_ms\":0")},
            {
                "shared key",
                valid.replace(PlatformSimulation.BETA_KEY, PlatformSimulation.ALPHA_KEY)
            },
            {
                "weights of 0",
                valid.replaceFirst(
                        "\"service\":\"lm\"", "\"split\":[{\"service\":\"lm\",\"weight\":0}]")
            },
            {"no version", valid.replace("\"version\":9", "\"version\":\"x\"")},
            {"not an object", "[]"},
            {"two documents", valid + valid},
        };
    }

    @Test(dataProvider = "invalid")
    public void whatIsNotValidIsRefusedAndNeverInForce(String what, String document) {
        String before = readBack(0);
        Answer answer = put(0, document);

        assertTrue(answer.mStatus >= 400 && answer.mStatus < 500, what + ": " + answer);
        assertEquals(readBack(1), before);
    }

    @Test
    public void aDocumentReplacesEverythingThatItLeavesOut() {
        String whole = PlatformSimulation.config(5, 30);
        String without =
                whole.replace(
                        ","
                                + PlatformSimulation.route(
                                        "swap",
                                        "streaming",
                                        PlatformSimulation.LM_SERVICE,
                                        "\"max_attempts\":1"),
                        "");
        put(0, without);
        Answer gone = mSimulation.request(mSimulation.entry(0), "q1", "/swap/1");
        Answer kept = mSimulation.request(mSimulation.entry(1), "q2", "/ask/1");
        mSimulation.run(SECOND_NANOS);

        assertEquals(gone.mStatus, 404);
        assertEquals(kept.mStatus, 200);
    }

    @Test
    public void aDocumentOutlivesTheLossOfAnyOneControlHostWithItsDisk() {
        for (int n = 0; n < 3; n++) {
            mSimulation = PlatformSimulation.serving(40 + n, 1);
            String document = PlatformSimulation.config(5, 30);
            assertEquals(put(n, document).mStatus, 200);
            HostId lost = mSimulation.control(n);
            mSimulation.fleet().crash(lost);
            mSimulation.loseDisk(lost);
            mSimulation.run(2 * SECOND_NANOS);
            mSimulation.startControl(lost);
            mSimulation.run(10 * SECOND_NANOS);
            for (int other = 0; other < 3; other++) {
                assertEquals(readBack(other), document);
            }
        }
    }

    @Test
    public void aControlHostAtAnotherAddressTakesThePlaceOfALostOne() {
        String document = PlatformSimulation.config(5, 30);
        put(0, document);
        mSimulation.fleet().crash(mSimulation.control(2));
        HostId next = PlatformSimulation.host(0, 9);
        mSimulation.run(2 * SECOND_NANOS);
        mSimulation.startControl(next);
        mSimulation.run(10 * SECOND_NANOS);
        mSimulation.fleet().crash(mSimulation.control(0));
        mSimulation.run(6 * SECOND_NANOS);

        assertEquals(readBack(3), document);
        assertEquals(put(1, PlatformSimulation.config(6, 31)).mStatus, 200);
    }

    @Test
    public void aHostThatWasFrozenUnnoticedTrustsNothingItKnewBefore() {
        HostId entry = mSimulation.entry(0);
        IntStream.range(0, 3).forEach(n -> mSimulation.fleet().cut(entry, mSimulation.control(n)));
        mSimulation
                .fleet()
                .deliver(entry, new org.coltsfootproxy.node.Input.ClockJumped(3 * SECOND_NANOS));
        Answer atOnce = mSimulation.request(entry, "q1", "/ask/1");
        mSimulation.run(SECOND_NANOS);
        assertEquals(atOnce.mStatus, 503, atOnce.toString());
        assertTrue(mSimulation.runsOf("q1").isEmpty());

        IntStream.range(0, 3).forEach(n -> mSimulation.fleet().heal(entry, mSimulation.control(n)));
        mSimulation.run(4 * SECOND_NANOS);
        Answer later = mSimulation.request(entry, "q2", "/ask/1");
        mSimulation.run(SECOND_NANOS);
        assertEquals(later.mStatus, 200, later.toString());
    }

    @Test
    public void damagedEntriesOfTheListNameNoTargetAndTheOthersHold() {
        mSimulation.mDamagedEntries.addAll(
                List.of(
                        "{\"id\":7}",
                        "{\"id\":\"x\",\"service\":\"lm\",\"addr\":\"nowhere\",\"zone\":\"z1\","
                                + "\"slots\":8,\"state\":\"ready\"}",
                        "{\"id\":\"y\",\"service\":\"lm\",\"addr\":\"10.8.0.77:80\","
                                + "\"zone\":\"z1\",\"slots\":8,\"state\":\"dreaming\"}",
                        "null"));
        mSimulation.run(3 * SECOND_NANOS);
        Answer answer = mSimulation.request(mSimulation.entry(0), "q1", "/ask/1");
        mSimulation.run(SECOND_NANOS);

        assertEquals(answer.mStatus, 200, answer.toString());
        assertTrue(mSimulation.mLoggedEvents.contains(EventCode.TARGET_ENTRY_DAMAGED));
    }

    @Test
    public void aLeavingTargetGetsNothingNewWithinTwoSeconds() {
        mSimulation.target("lm-1").mIsLeaving = true;
        mSimulation.run(2 * SECOND_NANOS);
        int before = mSimulation.target("lm-1").mRuns.size();
        for (int n = 0; n < 20; n++) {
            mSimulation.request(mSimulation.entry(n % 2), "q" + n, "/ask/1");
            mSimulation.run(30 * PlatformSimulation.MILLI_NANOS);
        }

        assertEquals(mSimulation.target("lm-1").mRuns.size(), before);
    }

    @Test
    public void theListIsReadOnAfterItsReaderIsLost() {
        mSimulation.fleet().crash(mSimulation.control(0));
        mSimulation.run(8 * SECOND_NANOS);
        mSimulation.target("lm-3", PlatformSimulation.LM_SERVICE, "z3");
        mSimulation.run(3 * SECOND_NANOS);
        for (int n = 0; n < 30; n++) {
            mSimulation.request(mSimulation.entry(n % 2), "q" + n, "/ask/1");
        }
        mSimulation.run(SECOND_NANOS);

        assertTrue(mSimulation.target("lm-3").mRuns.size() > 0);
    }
}
