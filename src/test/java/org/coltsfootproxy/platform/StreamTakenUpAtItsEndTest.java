package org.coltsfootproxy.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import org.coltsfootproxy.platform.PlatformSimulation.Answer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of callers that have a stream's last event, but not its end, and take it up again. */
public final class StreamTakenUpAtItsEndTest {
    private static final long SECOND_NANOS = PlatformSimulation.SECOND_NANOS;
    private static final int LAST_EVENT = 10;

    private PlatformSimulation mSimulation;

    @BeforeMethod
    public void startSimulation() {
        mSimulation = PlatformSimulation.startServing(7, 2);
    }

    /** Guards against streams that break off each time their callers take them up at their end. */
    @Test
    public void aStreamThatIsTakenUpAfterItsLastEventIsComplete() {
        mSimulation.request(mSimulation.entry(0), "q1", "/ask/1");
        mSimulation.run(SECOND_NANOS);
        Answer answer = mSimulation.resume(mSimulation.entry(0), "q2", "/ask/1", "q1", LAST_EVENT);
        mSimulation.run(SECOND_NANOS);

        assertEquals(answer.mStatus, 200, answer.toString());
        assertTrue(answer.mIsComplete, answer.toString());
        assertEquals(answer.body(), "");
        assertEquals(mSimulation.runsOf("q2").size(), 1);
    }

    /** Guards against a stream that its caller can't take up ending as complete without events. */
    @Test
    public void anEmptyStreamThatMayNotBeTakenUpIsNotComplete() {
        Answer answer = mSimulation.resume(mSimulation.entry(0), "q1", "/swap/1", "", LAST_EVENT);
        mSimulation.run(SECOND_NANOS);

        assertFalse(answer.mIsComplete, answer.toString());
        assertEquals(mSimulation.runsOf("q1").size(), 1);
    }
}
