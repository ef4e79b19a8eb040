package org.coltsfootproxy.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;

import org.coltsfootproxy.platform.PlatformSimulation.Answer;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of streams that targets do not resume where they are asked to. */
public final class ResumedStreamTest {
    private static final long MILLI_NANOS = PlatformSimulation.MILLI_NANOS;
    private static final long SECOND_NANOS = PlatformSimulation.SECOND_NANOS;

    private PlatformSimulation mSimulation;

    @BeforeMethod
    public void startSimulation() {
        mSimulation = PlatformSimulation.startServing(7, 2);
    }

    @DataProvider
    Object[][] eventsThatDoNotFollowTheThird() {
        return new Object[][] {{1}, {3}, {5}};
    }

    /** Guards against events that come twice, or are missing, where a stream goes on elsewhere. */
    @Test(dataProvider = "eventsThatDoNotFollowTheThird")
    public void aStreamThatIsResumedAtTheWrongEventIsBrokenOffBeforeIt(int event) {
        mSimulation.mTargets.values().forEach(target -> target.mCutAtEvent = 4);
        Answer answer = mSimulation.request(mSimulation.entry(0), "q1", "/ask/1");
        mSimulation.run(50 * MILLI_NANOS);
        for (SimulatedTarget target : mSimulation.mTargets.values()) {
            target.mResumesAt = event;
            target.mCutAtEvent = target.mRuns.isEmpty() ? 0 : 4;
        }
        mSimulation.run(6 * SECOND_NANOS);

        assertEquals(mSimulation.runsOf("q1").get(1).mResumeAfter, 3);
        assertEquals(
                answer.body(), "id: 1\ndata: q1-1\n\nid: 2\ndata: q1-2\n\nid: 3\ndata: q1-3\n\n");
        assertFalse(answer.mIsComplete, answer.toString());
    }

    /** Guards against events that come twice, or are missing, where a caller takes a stream up. */
    @Test(dataProvider = "eventsThatDoNotFollowTheThird")
    public void aStreamThatItsCallerTakesUpDoesNotGoOnAtTheWrongEvent(int event) {
        mSimulation.mTargets.values().forEach(target -> target.mCutAtEvent = 4);
        mSimulation.request(mSimulation.entry(0), "q1", "/ask/1");
        mSimulation.run(6 * SECOND_NANOS);
        mSimulation.mTargets.values().forEach(target -> target.mCutAtEvent = 0);
        mSimulation.mTargets.values().forEach(target -> target.mResumesAt = event);
        Answer answer = mSimulation.resume(mSimulation.entry(0), "q2", "/ask/1", "q1", 3);
        mSimulation.run(6 * SECOND_NANOS);

        assertEquals(mSimulation.runsOf("q2").get(0).mResumeAfter, 3);
        assertEquals(answer.body(), "");
        assertFalse(answer.mIsComplete, answer.toString());
    }
}
