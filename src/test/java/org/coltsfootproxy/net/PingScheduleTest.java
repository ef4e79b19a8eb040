package org.coltsfootproxy.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.SplittableRandom;
import org.coltsfootproxy.message.Lane;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Contract of {@link PingSchedule} and {@link Backoff}, in virtual time. */
public final class PingScheduleTest {
    private static final long MILLI = 1_000_000L;
    private static final long SECOND = 1000 * MILLI;

    @DataProvider
    public Object[][] lanes() {
        return new Object[][] {{Lane.ONLINE}, {Lane.CONTROL}, {Lane.BATCH}};
    }

    /** Returns when a connection is closed on which nothing arrives from {@code now} on. */
    private static long closedAt(PingSchedule pings, long now) {
        long time = now;
        PingSchedule.Action action = pings.tick(time);
        while (action != PingSchedule.Action.CLOSE) {
            time = Math.max(time + 1, pings.nextNanos());
            action = pings.tick(time);
        }
        return time;
    }

    /** A connection without messages whose pings are answered. */
    private static final class IdleConnection {
        private final PingSchedule mPings;
        private long mNow;
        private int mCount;

        IdleConnection(Lane lane) {
            mPings = PingSchedule.start(lane, 0);
        }

        /** Goes on until {@code end}, or until the pong that is due then has arrived. */
        void runUntil(long end, long pongDelay) {
            while (mPings.nextNanos() < end) {
                mNow = Math.max(mNow, mPings.nextNanos());
                if (mPings.tick(mNow) == PingSchedule.Action.PING) {
                    mCount++;
                    mNow += pongDelay;
                    mPings.pongReceived();
                }
            }
            mNow = Math.max(mNow, end);
        }
    }

    @Test(dataProvider = "lanes")
    public void aMessageIntoSilenceClosesTheConnectionWithinASecondAndAHalf(Lane lane) {
        SplittableRandom random = new SplittableRandom(5);
        for (int round = 0; round < 1000; round++) {
            IdleConnection connection = new IdleConnection(lane);
            connection.runUntil(random.nextLong(60 * SECOND), random.nextLong(500 * MILLI));
            long sent = connection.mNow;
            connection.mPings.messageSent(sent);
            long closed = closedAt(connection.mPings, sent);
            assertTrue(closed - sent <= 1500 * MILLI, lane + ": " + (closed - sent) / MILLI);
        }
    }

    @Test(dataProvider = "lanes")
    public void silenceWithoutMessagesIsFoundWithinTheLongestIntervalAndASecond(Lane lane) {
        IdleConnection connection = new IdleConnection(lane);
        connection.runUntil(100 * SECOND, 0);
        long closed = closedAt(connection.mPings, 100 * SECOND);
        assertTrue(closed - 100 * SECOND <= PingSchedule.maxInterval(lane) + SECOND);
    }

    @Test(dataProvider = "lanes")
    public void anIdleConnectionIsPingedNoMoreOftenThanItsLaneAllows(Lane lane) {
        IdleConnection connection = new IdleConnection(lane);
        connection.runUntil(60 * SECOND, 0);
        int before = connection.mCount;
        connection.runUntil(660 * SECOND, 0);
        long most = 600 * SECOND / PingSchedule.maxInterval(lane) + 1;
        assertTrue(connection.mCount - before <= most, "" + (connection.mCount - before));
    }

    @Test
    public void aPongBehindBulkDataIsAwaitedAsLongAsTheDataMoves() {
        PingSchedule pings = PingSchedule.start(Lane.BATCH, 0);
        pings.messageSent(0);
        assertEquals(pings.tick(500 * MILLI), PingSchedule.Action.PING);
        long time = 500 * MILLI;
        for (int i = 0; i < 10; i++) {
            pings.bytesMoved(PingSchedule.BULK_BYTES);
            time += SECOND;
            assertEquals(pings.tick(time), PingSchedule.Action.NONE);
        }
        pings.bytesMoved(PingSchedule.BULK_BYTES - 1);
        assertEquals(pings.tick(time + SECOND), PingSchedule.Action.CLOSE);
    }

    @Test
    public void aSideThatIsPingedNeedNotPingUnlessItHasSomethingToProve() {
        PingSchedule pings = PingSchedule.start(Lane.ONLINE, 0);
        pings.pingReceived(0);
        assertTrue(pings.nextNanos() > SECOND);
        pings.messageSent(10 * MILLI);
        pings.pingReceived(20 * MILLI);
        assertEquals(pings.nextNanos(), 510 * MILLI);
    }

    @Test
    public void thePausesBetweenAttemptsGrowToTheirBoundAndAreSpread() {
        SplittableRandom random = new SplittableRandom(9);
        Backoff backoff = Backoff.of(random);
        assertTrue(backoff.isOpen(0));
        long now = 0;
        long longest = 0;
        for (int i = 0; i < 20; i++) {
            backoff.failed(now);
            long start = now;
            while (!backoff.isOpen(now)) {
                now += 10 * MILLI;
            }
            longest = Math.max(longest, now - start);
            long step = Math.min(100 * MILLI << Math.min(i, 10), Backoff.MAX_NANOS);
            assertTrue(now - start >= step / 2 && now - start <= step + 10 * MILLI, "" + i);
        }
        assertTrue(longest > Backoff.MAX_NANOS / 2);
        backoff.succeeded();
        assertTrue(backoff.isOpen(now));
    }
}
