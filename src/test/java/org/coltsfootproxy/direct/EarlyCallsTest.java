package org.coltsfootproxy.direct;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.node.Input;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of {@link EarlyCalls}. */
public final class EarlyCallsTest {
    private static final int MIB = 1 << 20;
    private static final long LATER = TimeUnit.MILLISECONDS.toNanos(900);

    private EarlyCalls mCalls;
    private long mNumber;

    @BeforeMethod
    public void begin() {
        mCalls = new EarlyCalls();
        mNumber = 0;
    }

    private boolean hold(int bytes) {
        return mCalls.hold(
                new Input.HttpCall(++mNumber, "POST", "/x", List.of(), new byte[bytes]), 0);
    }

    private int holdUntilFull(int bytes) {
        int held = 0;
        while (hold(bytes)) {
            held++;
        }
        return held;
    }

    /** Guards against few large calls filling the heap because only their number was limited. */
    @Test
    public void largeCallsAreHeldUpToALimitInBytes() {
        assertEquals(holdUntilFull(4 * MIB), 2);
        assertTrue(hold(0), "a call without body needs no room");
    }

    @Test
    public void callsWithoutBodyAreHeldUpToALimitInNumber() {
        assertEquals(holdUntilFull(0), 500);
    }

    /** Guards against room that is never free again. */
    @Test
    public void callsThatLeaveMakeRoom() {
        holdUntilFull(4 * MIB);
        mCalls.callerDisconnected(1);
        assertTrue(hold(4 * MIB), "after a caller has left");
        assertEquals(mCalls.takeExpired(LATER).size(), 2);
        assertEquals(holdUntilFull(4 * MIB), 2);
        assertEquals(mCalls.takeAll().size(), 2);
        assertEquals(holdUntilFull(4 * MIB), 2);
        assertFalse(mCalls.isEmpty());
    }
}
