package org.coltsfootproxy.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.platform.PlatformWorld.Answer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Configurations as whole documents, and the hosts and targets that come and go. */
public final class FleetConfigTest {
    private static final long SECOND = PlatformWorld.SECOND;
    private static final String PATH = "/coltsfootproxy/config";

    private PlatformWorld mWorld;

    @BeforeMethod
    public void begin() {
        mWorld = PlatformWorld.serving(31, 2);
    }

    private Answer put(int control, String document) {
        Answer answer = mWorld.operate(mWorld.control(control), "PUT", PATH, document);
        mWorld.run(SECOND);
        return answer;
    }

    private String readBack(int control) {
        Answer answer = mWorld.operate(mWorld.control(control), "GET", PATH, "");
        mWorld.run(SECOND);
        assertEquals(answer.mStatus, 200, answer.toString());
        return answer.body();
    }

    @Test
    public void theNewestDocumentIsReadBackAsItWasSentAtEveryControlHost() {
        String document = PlatformWorld.config(5, 30) + "  \n";
        assertEquals(put(1, document).mStatus, 200);

        for (int n = 0; n < 3; n++) {
            assertEquals(readBack(n), document);
        }
    }

    @Test
    public void aNumberThatIsNotHigherIsAcknowledgedAndChangesNothing() {
        String newest = PlatformWorld.config(5, 30);
        put(0, newest);
        Answer older = put(1, PlatformWorld.config(4, 99));
        Answer same = put(2, PlatformWorld.config(5, 99));

        assertEquals(older.mStatus, 200);
        assertEquals(same.mStatus, 200);
        assertEquals(readBack(0), newest);
    }

    @DataProvider
    Object[][] invalid() {
        String valid = PlatformWorld.config(9, 30);
        return new Object[][] {
            {"cut off", valid.substring(0, valid.length() / 2)},
            {"unknown service", valid.replaceFirst("\"service\":\"lm\"", "\"service\":\"none\"")},
            {"same host and prefix", valid.replace("/swap/", "/ask/")},
            {"timeout of 0", valid.replaceFirst("\"timeout_ms\":5000", "\"timeout_ms\":0")},
            {"shared key", valid.replace(PlatformWorld.OTHER_KEY, PlatformWorld.KEY)},
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
        String whole = PlatformWorld.config(5, 30);
        String without =
                whole.replace(
                        ","
                                + PlatformWorld.route(
                                        "swap",
                                        "streaming",
                                        PlatformWorld.LM,
                                        "\"max_attempts\":1"),
                        "");
        put(0, without);
        Answer gone = mWorld.request(mWorld.entry(0), "q1", "/swap/1");
        Answer kept = mWorld.request(mWorld.entry(1), "q2", "/ask/1");
        mWorld.run(SECOND);

        assertEquals(gone.mStatus, 404);
        assertEquals(kept.mStatus, 200);
    }

    @Test
    public void aDocumentOutlivesTheLossOfAnyOneControlHostWithItsDisk() {
        for (int n = 0; n < 3; n++) {
            mWorld = PlatformWorld.serving(40 + n, 1);
            String document = PlatformWorld.config(5, 30);
            assertEquals(put(n, document).mStatus, 200);
            HostId lost = mWorld.control(n);
            mWorld.fleet().crash(lost);
            mWorld.loseDisk(lost);
            mWorld.run(2 * SECOND);
            mWorld.startControl(lost);
            mWorld.run(10 * SECOND);
            for (int other = 0; other < 3; other++) {
                assertEquals(readBack(other), document);
            }
        }
    }

    @Test
    public void aControlHostAtAnotherAddressTakesThePlaceOfALostOne() {
        String document = PlatformWorld.config(5, 30);
        put(0, document);
        mWorld.fleet().crash(mWorld.control(2));
        HostId next = PlatformWorld.host(0, 9);
        mWorld.run(2 * SECOND);
        mWorld.startControl(next);
        mWorld.run(10 * SECOND);
        mWorld.fleet().crash(mWorld.control(0));
        mWorld.run(6 * SECOND);

        assertEquals(readBack(3), document);
        assertEquals(put(1, PlatformWorld.config(6, 31)).mStatus, 200);
    }

    @Test
    public void aHostThatWasFrozenUnnoticedTrustsNothingItKnewBefore() {
        HostId entry = mWorld.entry(0);
        IntStream.range(0, 3).forEach(n -> mWorld.fleet().cut(entry, mWorld.control(n)));
        mWorld.fleet().deliver(entry, new org.coltsfootproxy.node.Input.ClockJumped(3 * SECOND));
        Answer atOnce = mWorld.request(entry, "q1", "/ask/1");
        mWorld.run(SECOND);
        assertEquals(atOnce.mStatus, 503, atOnce.toString());
        assertTrue(mWorld.runsOf("q1").isEmpty());

        IntStream.range(0, 3).forEach(n -> mWorld.fleet().heal(entry, mWorld.control(n)));
        mWorld.run(4 * SECOND);
        Answer later = mWorld.request(entry, "q2", "/ask/1");
        mWorld.run(SECOND);
        assertEquals(later.mStatus, 200, later.toString());
    }

    @Test
    public void damagedEntriesOfTheListNameNoTargetAndTheOthersHold() {
        mWorld.mDamaged.addAll(
                List.of(
                        "{\"id\":7}",
                        "{\"id\":\"x\",\"service\":\"lm\",\"addr\":\"nowhere\",\"zone\":\"z1\","
                                + "\"slots\":8,\"state\":\"ready\"}",
                        "{\"id\":\"y\",\"service\":\"lm\",\"addr\":\"10.8.0.77:80\","
                                + "\"zone\":\"z1\",\"slots\":8,\"state\":\"dreaming\"}",
                        "null"));
        mWorld.run(3 * SECOND);
        Answer answer = mWorld.request(mWorld.entry(0), "q1", "/ask/1");
        mWorld.run(SECOND);

        assertEquals(answer.mStatus, 200, answer.toString());
        assertTrue(mWorld.mLogged.contains(EventCode.TARGET_ENTRY_DAMAGED));
    }

    @Test
    public void aLeavingTargetGetsNothingNewWithinTwoSeconds() {
        mWorld.engine("lm-1").mIsLeaving = true;
        mWorld.run(2 * SECOND);
        int before = mWorld.engine("lm-1").mRuns.size();
        for (int n = 0; n < 20; n++) {
            mWorld.request(mWorld.entry(n % 2), "q" + n, "/ask/1");
            mWorld.run(30 * PlatformWorld.MILLI);
        }

        assertEquals(mWorld.engine("lm-1").mRuns.size(), before);
    }

    @Test
    public void theListIsReadOnAfterItsReaderIsLost() {
        mWorld.fleet().crash(mWorld.control(0));
        mWorld.run(8 * SECOND);
        mWorld.engine("lm-3", PlatformWorld.LM, "z3");
        mWorld.run(3 * SECOND);
        for (int n = 0; n < 30; n++) {
            mWorld.request(mWorld.entry(n % 2), "q" + n, "/ask/1");
        }
        mWorld.run(SECOND);

        assertTrue(mWorld.engine("lm-3").mRuns.size() > 0);
    }
}
