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

/** Tests uploads of configuration documents, and changes of control hosts and targets. */
public final class FleetConfigTest {
    private static final long SECOND_NANOS = PlatformSimulation.SECOND_NANOS;
    private static final String CONFIG_PATH = "/coltsfootproxy/config";

    private PlatformSimulation mSimulation;

    @BeforeMethod
    public void startSimulation() {
        mSimulation = PlatformSimulation.startServing(31, 2);
    }

    private Answer put(int control, String document) {
        Answer answer =
                mSimulation.callAsOperator(
                        mSimulation.control(control), "PUT", CONFIG_PATH, document);
        mSimulation.run(SECOND_NANOS);
        return answer;
    }

    private String readConfig(int control) {
        Answer answer =
                mSimulation.callAsOperator(mSimulation.control(control), "GET", CONFIG_PATH, "");
        mSimulation.run(SECOND_NANOS);
        assertEquals(answer.mStatus, 200, answer.toString());
        return answer.body();
    }

    @Test
    public void theNewestDocumentIsReturnedVerbatimByEveryControlHost() {
        String document = SimulatedConfig.config(5, 30) + "  \n";
        assertEquals(put(1, document).mStatus, 200);

        for (int n = 0; n < 3; n++) {
            assertEquals(readConfig(n), document);
        }
    }

    @Test
    public void aDocumentWithoutAHigherVersionIsAcknowledgedAndChangesNothing() {
        String newest = SimulatedConfig.config(5, 30);
        put(0, newest);
        Answer older = put(1, SimulatedConfig.config(4, 99));
        Answer same = put(2, SimulatedConfig.config(5, 99));

        assertEquals(older.mStatus, 200);
        assertEquals(same.mStatus, 200);
        assertEquals(readConfig(0), newest);
    }

    @DataProvider
    Object[][] invalid() {
        String valid = SimulatedConfig.config(9, 30);
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
    public void anInvalidDocumentIsRefusedAndNeverTakesEffect(String what, String document) {
        String before = readConfig(0);
        Answer answer = put(0, document);

        assertTrue(answer.mStatus >= 400 && answer.mStatus < 500, what + ": " + answer);
        assertEquals(readConfig(1), before);
    }

    @Test
    public void aDocumentRemovesEverythingThatItOmits() {
        String fullDocument = SimulatedConfig.config(5, 30);
        String withoutSwapRoute =
                fullDocument.replace(
                        ","
                                + SimulatedConfig.route(
                                        "swap",
                                        "streaming",
                                        PlatformSimulation.LM_SERVICE,
                                        "\"max_attempts\":1"),
                        "");
        put(0, withoutSwapRoute);
        Answer removed = mSimulation.request(mSimulation.entry(0), "q1", "/swap/1");
        Answer kept = mSimulation.request(mSimulation.entry(1), "q2", "/ask/1");
        mSimulation.run(SECOND_NANOS);

        assertEquals(removed.mStatus, 404);
        assertEquals(kept.mStatus, 200);
    }

    @Test
    public void aDocumentSurvivesTheLossOfAnyOneControlHostWithItsDisk() {
        for (int n = 0; n < 3; n++) {
            mSimulation = PlatformSimulation.startServing(40 + n, 1);
            String document = SimulatedConfig.config(5, 30);
            assertEquals(put(n, document).mStatus, 200);
            HostId lost = mSimulation.control(n);
            mSimulation.fleet().crash(lost);
            mSimulation.loseDisk(lost);
            mSimulation.run(2 * SECOND_NANOS);
            mSimulation.startControl(lost);
            mSimulation.run(10 * SECOND_NANOS);
            for (int other = 0; other < 3; other++) {
                assertEquals(readConfig(other), document);
            }
        }
    }

    @Test
    public void aControlHostAtANewAddressReplacesALostOne() {
        String document = SimulatedConfig.config(5, 30);
        put(0, document);
        mSimulation.fleet().crash(mSimulation.control(2));
        HostId next = PlatformSimulation.host(0, 9);
        mSimulation.run(2 * SECOND_NANOS);
        mSimulation.startControl(next);
        mSimulation.run(10 * SECOND_NANOS);
        mSimulation.fleet().crash(mSimulation.control(0));
        mSimulation.run(6 * SECOND_NANOS);

        assertEquals(readConfig(3), document);
        assertEquals(put(1, SimulatedConfig.config(6, 31)).mStatus, 200);
    }

    @Test
    public void aHostThatWasSuspendedTrustsNoEarlierConfirmation() {
        HostId entry = mSimulation.entry(0);
        IntStream.range(0, 3)
                .forEach(n -> mSimulation.fleet().partition(entry, mSimulation.control(n)));
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
    public void malformedEntriesOfTheTargetListAreSkippedAndTheOthersAreUsed() {
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
    public void aDrainingTargetGetsNoNewRequestsAfterTwoSeconds() {
        mSimulation.target("lm-1").mIsDraining = true;
        mSimulation.run(2 * SECOND_NANOS);
        int before = mSimulation.target("lm-1").mRuns.size();
        for (int n = 0; n < 20; n++) {
            mSimulation.request(mSimulation.entry(n % 2), "q" + n, "/ask/1");
            mSimulation.run(30 * PlatformSimulation.MILLI_NANOS);
        }

        assertEquals(mSimulation.target("lm-1").mRuns.size(), before);
    }

    @Test
    public void anotherHostReadsTheTargetListAfterItsReaderIsLost() {
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
