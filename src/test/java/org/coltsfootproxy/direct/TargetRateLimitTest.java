package org.coltsfootproxy.direct;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests of the limit that a target has named on the calls from all hosts. */
public final class TargetRateLimitTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private TargetRateLimit mLimit;

    @BeforeMethod
    public void begin() {
        mLimit = new TargetRateLimit();
    }

    /** Starts all calls that are allowed in some time, and returns their number. */
    private int startAll(long from, long nanos) {
        int calls = 0;
        for (long now = from; now < from + nanos; now += SECOND / 1_000) {
            while (mLimit.allowedCalls(now) > 0) {
                mLimit.started(1, now);
                calls++;
            }
        }
        return calls;
    }

    @Test
    public void withoutALimitEveryCallIsAllowed() {
        mLimit.started(1_000_000, 0);
        assertEquals(mLimit.allowedCalls(0), Integer.MAX_VALUE);
        assertEquals(mLimit.waitNanos(0), 0);
        assertEquals(mLimit.perSecond(), OptionalDouble.empty());
    }

    @Test
    public void theLimitHoldsFromTheMomentAtWhichItIsKnown() {
        mLimit.set(2.5, 0);
        assertEquals(mLimit.allowedCalls(0), 0);
        assertEquals(mLimit.waitNanos(0), (long) (0.4 * SECOND));
        int calls = startAll(0, 10 * SECOND);
        assertTrue(calls >= 24 && calls <= 25, "" + calls);
    }

    @Test
    public void anIdleTargetGetsABurstOfNoMoreThanASecond() {
        mLimit.set(8, 0);
        assertEquals(mLimit.allowedCalls(60 * SECOND), 9);
    }

    @Test
    public void callsOfOtherHostsCountAndTheirSurplusIsMadeUpFor() {
        mLimit.set(2, 0);
        mLimit.started(5, SECOND);
        assertEquals(mLimit.allowedCalls(2 * SECOND), 0);
        assertEquals(mLimit.waitNanos(SECOND), 2 * SECOND);
    }

    @Test
    public void aDebtIsForgottenAfterAWhile() {
        mLimit.set(2, 0);
        mLimit.started(1_000, 0);
        assertEquals(mLimit.allowedCalls(5 * SECOND), 2);
    }

    @Test
    public void aCallNowAndThenIsAllowedWhateverTheLimit() {
        mLimit.set(0, 0);
        assertEquals(startAll(0, 100 * SECOND), 9);
    }

    @Test
    public void anAnswerWithoutItLiftsTheLimitUnlessItsCallIsOlder() {
        mLimit.set(2, 10 * SECOND);
        mLimit.notNamed(9 * SECOND);
        assertEquals(mLimit.perSecond(), OptionalDouble.of(2));
        mLimit.notNamed(11 * SECOND);
        assertEquals(mLimit.allowedCalls(11 * SECOND), Integer.MAX_VALUE);
    }

    @Test
    public void anotherLimitTakesTheOldOnesPlace() {
        mLimit.set(2, 0);
        startAll(0, SECOND);
        mLimit.set(20, SECOND);
        int calls = startAll(SECOND, SECOND);
        assertTrue(calls >= 19 && calls <= 20, "" + calls);
    }
}
