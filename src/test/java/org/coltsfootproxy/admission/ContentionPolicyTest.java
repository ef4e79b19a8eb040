package org.coltsfootproxy.admission;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.OrganisationId;
import org.testng.annotations.Test;

/** Tests single decisions under contention and the state that they read. */
public final class ContentionPolicyTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final OrganisationId ALPHA = OrganisationId.of("alpha");
    private static final OrganisationId BETA = OrganisationId.of("beta");

    private static ContentionVerdict decide(
            int moreUrgentRanks, double ratio, double waitMillis, double remainingMillis) {
        return ContentionPolicy.decide(
                new ContentionPolicy.Contender(
                        moreUrgentRanks,
                        ratio,
                        waitMillis * MILLI,
                        0,
                        300 * MILLI,
                        remainingMillis * MILLI,
                        100 * MILLI,
                        false,
                        false));
    }

    /** Guards against refusals while slots are idle. */
    @Test
    public void nothingIsRefusedWithoutAnExpectedWait() {
        assertEquals(decide(5, 100, 0, 1), ContentionVerdict.IDLE);
    }

    /** Guards against an organisation above its share that waits as long as one below it. */
    @Test
    public void anOrganisationAboveItsShareIsRefusedAtAShorterWait() {
        assertEquals(decide(0, 0.5, 60, 5_000), ContentionVerdict.SHORT_WAIT);
        assertEquals(decide(0, 8, 60, 5_000), ContentionVerdict.ABOVE_SHARE);
    }

    /** Guards against ranks that are read but not used. */
    @Test
    public void aLessUrgentRankIsRefusedAtAShorterWait() {
        assertEquals(decide(0, 1, 150, 5_000), ContentionVerdict.SHORT_WAIT);
        assertEquals(decide(1, 1, 150, 5_000), ContentionVerdict.LESS_URGENT);
    }

    /** Guards against requests that wait although they can't be answered any more. */
    @Test
    public void aRequestThatCannotEndBeforeItsDeadlineIsRefused() {
        assertEquals(decide(0, 0, 60, 150), ContentionVerdict.PAST_DEADLINE);
    }

    /** Guards against returns that wait behind new requests of the same rank. */
    @Test
    public void aReturnAtItsReservedTimeIsAdmittedWhereANewRequestIsNot() {
        var fresh =
                new ContentionPolicy.Contender(
                        0,
                        1,
                        150 * MILLI,
                        100 * MILLI,
                        300 * MILLI,
                        5_000 * MILLI,
                        0,
                        false,
                        false);
        var back =
                new ContentionPolicy.Contender(
                        0, 1, 150 * MILLI, 100 * MILLI, 300 * MILLI, 5_000 * MILLI, 0, true, false);

        assertEquals(ContentionPolicy.decide(fresh), ContentionVerdict.RESERVED_FOR_OTHERS);
        assertEquals(ContentionPolicy.decide(back), ContentionVerdict.RESERVED);
    }

    /** Guards against returns that wait behind new requests of organisations below their share. */
    @Test
    public void aReturnAtItsReservedTimeMayWaitLongerThanAnyNewRequest() {
        var back =
                new ContentionPolicy.Contender(
                        0, 1, 225 * MILLI, 0, 300 * MILLI, 5_000 * MILLI, 0, true, false);

        assertEquals(ContentionPolicy.decide(back), ContentionVerdict.RESERVED);
        assertEquals(decide(0, 0, 225, 5_000), ContentionVerdict.LATE);
    }

    /** Guards against shares that count old requests like new ones, or grow without bound. */
    @Test
    public void receivedSharesDecayAndStayBounded() {
        ReceivedShares shares = ReceivedShares.create();
        assertEquals(shares.ratio(ALPHA, 1, 0), 0.0);
        shares.admitted(ALPHA, 30, 0);
        shares.admitted(BETA, 10, 0);
        assertEquals(shares.ratio(ALPHA, 1, 0), 1.5, 1e-9);
        assertEquals(shares.ratio(ALPHA, 2, 0), 0.75, 1e-9);
        assertEquals(shares.received(ALPHA, ReceivedShares.HALF_LIFE_NANOS), 15, 1e-9);

        for (int n = 0; n < 2 * ReceivedShares.MAX_ORGANISATIONS; n++) {
            shares.admitted(OrganisationId.of("o-" + n), 1, 0);
        }
        assertEquals(shares.size(), ReceivedShares.MAX_ORGANISATIONS);
        shares.admitted(ALPHA, 1, TimeUnit.MINUTES.toNanos(1));
        assertEquals(shares.size(), 1);
        assertEquals(shares.ratio(ALPHA, 1, TimeUnit.MINUTES.toNanos(1)), 1, 0.01);
    }

    /** Guards against a reservation for more returns than the capacity takes. */
    @Test
    public void returnsAreSpacedAndARefusalWithoutAFreeTimeReservesNothing() {
        ReturnSchedule schedule = new ReturnSchedule();
        assertEquals(
                schedule.reserve(1, 100 * MILLI, 150 * MILLI, 30 * MILLI, 0),
                OptionalLong.of(100 * MILLI));
        assertEquals(
                schedule.reserve(2, 100 * MILLI, 150 * MILLI, 30 * MILLI, 0),
                OptionalLong.of(130 * MILLI));
        assertEquals(
                schedule.reserve(3, 100 * MILLI, 150 * MILLI, 30 * MILLI, 0), OptionalLong.empty());
        assertEquals(schedule.reservedUntil(110 * MILLI, 0), 1);
        assertTrue(schedule.claim(1, 105 * MILLI));
        assertFalse(schedule.claim(1, 105 * MILLI));
        assertFalse(schedule.claim(3, 105 * MILLI));
        assertEquals(schedule.reservedUntil(200 * MILLI, 600 * MILLI), 0);
    }

    /** Guards against a group that is never admitted while others are. */
    @Test
    public void aGroupBelowItsMinimumShareIsAdmittedNext() {
        MinimumShares shares = new MinimumShares();
        for (int n = 0; n < 100; n++) {
            shares.decided(n % 2 == 0, 0);
            shares.decided("served", n % 2 == 0, 0);
            shares.decided("starved", n % 10 == 0, 0);
        }
        assertFalse(shares.isBelow("served", 0.25, 0));
        assertTrue(shares.isBelow("starved", 0.25, 0));
    }
}
