package org.coltsfootproxy.net;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.SplittableRandom;
import org.coltsfootproxy.message.Lane;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link PingSchedule} and {@link Backoff} in virtual time. */
public final class PingScheduleTest {
    private static final long MILLI_NANOS = 1_000_000L;
    private static final long SECOND_NANOS = 1000 * MILLI_NANOS;

    @DataProvider
    public Object[][] lanes() {
        return new Object[][] {{Lane.ONLINE}, {Lane.CONTROL}, {Lane.BATCH}};
    }

    /** Returns when a connection is closed on which nothing arrives after {@code nowNanos}. */
    private static long closingTimeNanos(PingSchedule schedule, long nowNanos) {
        long timeNanos = nowNanos;
        PingSchedule.Action action = schedule.tick(timeNanos);
        while (action != PingSchedule.Action.CLOSE) {
            timeNanos = Math.max(timeNanos + 1, schedule.nextActionNanos());
            action = schedule.tick(timeNanos);
        }
        return timeNanos;
    }

    /** A connection without messages, on which each ping is answered. */
    private static final class IdleConnection {
        private final PingSchedule mPings;
        private long mNow;
        private int mPingCount;

        IdleConnection(Lane lane) {
            mPings = PingSchedule.start(lane, 0);
        }

        /** Advances the time to {@code end}, or to the arrival of a pong that is due then. */
        void runUntil(long end, long pongDelay) {
            while (mPings.nextActionNanos() < end) {
                mNow = Math.max(mNow, mPings.nextActionNanos());
                if (mPings.tick(mNow) == PingSchedule.Action.PING) {
                    mPingCount++;
                    mNow += pongDelay;
                    mPings.onPongReceived();
                }
            }
            mNow = Math.max(mNow, end);
        }
    }

    @Test(dataProvider = "lanes")
    public void anUnansweredMessageClosesTheConnectionWithinOneAndAHalfSeconds(Lane lane) {
        SplittableRandom random = new SplittableRandom(5);
        for (int round = 0; round < 1000; round++) {
            IdleConnection connection = new IdleConnection(lane);
            connection.runUntil(
                    random.nextLong(60 * SECOND_NANOS), random.nextLong(500 * MILLI_NANOS));
            long sent = connection.mNow;
            connection.mPings.onMessageSent(sent);
            long closed = closingTimeNanos(connection.mPings, sent);
            assertTrue(
                    closed - sent <= 1500 * MILLI_NANOS,
                    lane + ": " + (closed - sent) / MILLI_NANOS);
        }
    }

    @Test(dataProvider = "lanes")
    public void anUnresponsiveIdleConnectionIsClosedWithinTheLongestIntervalPlusOneSecond(
            Lane lane) {
        IdleConnection connection = new IdleConnection(lane);
        connection.runUntil(100 * SECOND_NANOS, 0);
        long closed = closingTimeNanos(connection.mPings, 100 * SECOND_NANOS);
        assertTrue(
                closed - 100 * SECOND_NANOS
                        <= PingSchedule.longestIntervalNanos(lane) + SECOND_NANOS);
    }

    @Test(dataProvider = "lanes")
    public void anIdleConnectionIsPingedNoMoreOftenThanItsLaneAllows(Lane lane) {
        IdleConnection connection = new IdleConnection(lane);
        connection.runUntil(60 * SECOND_NANOS, 0);
        int before = connection.mPingCount;
        connection.runUntil(660 * SECOND_NANOS, 0);
        long maxPings = 600 * SECOND_NANOS / PingSchedule.longestIntervalNanos(lane) + 1;
        assertTrue(
                connection.mPingCount - before <= maxPings, "" + (connection.mPingCount - before));
    }

    @Test
    public void aMissingPongIsToleratedWhileBulkDataIsTransferred() {
        PingSchedule schedule = PingSchedule.start(Lane.BATCH, 0);
        schedule.onMessageSent(0);
        assertEquals(schedule.tick(500 * MILLI_NANOS), PingSchedule.Action.PING);
        long timeNanos = 500 * MILLI_NANOS;
        for (int i = 0; i < 10; i++) {
            schedule.onBytesTransferred(PingSchedule.MIN_PROGRESS_BYTES);
            timeNanos += SECOND_NANOS;
            assertEquals(schedule.tick(timeNanos), PingSchedule.Action.NONE);
        }
        schedule.onBytesTransferred(PingSchedule.MIN_PROGRESS_BYTES - 1);
        assertEquals(schedule.tick(timeNanos + SECOND_NANOS), PingSchedule.Action.CLOSE);
    }

    @Test
    public void aReceivedPingPostponesTheNextPingUnlessAMessageWasSent() {
        PingSchedule schedule = PingSchedule.start(Lane.ONLINE, 0);
        schedule.onPingReceived(0);
        assertTrue(schedule.nextActionNanos() > SECOND_NANOS);
        schedule.onMessageSent(10 * MILLI_NANOS);
        schedule.onPingReceived(20 * MILLI_NANOS);
        assertEquals(schedule.nextActionNanos(), 510 * MILLI_NANOS);
    }

    @Test
    public void backoffDelaysGrowToTheirMaximumAndAreRandomised() {
        SplittableRandom random = new SplittableRandom(9);
        Backoff backoff = Backoff.of(random);
        assertTrue(backoff.isAttemptAllowed(0));
        long nowNanos = 0;
        long longestDelayNanos = 0;
        for (int i = 0; i < 20; i++) {
            backoff.recordFailure(nowNanos);
            long start = nowNanos;
            while (!backoff.isAttemptAllowed(nowNanos)) {
                nowNanos += 10 * MILLI_NANOS;
            }
            longestDelayNanos = Math.max(longestDelayNanos, nowNanos - start);
            long step = Math.min(100 * MILLI_NANOS << Math.min(i, 10), Backoff.MAX_DELAY_NANOS);
            assertTrue(
                    nowNanos - start >= step / 2 && nowNanos - start <= step + 10 * MILLI_NANOS,
                    "" + i);
        }
        assertTrue(longestDelayNanos > Backoff.MAX_DELAY_NANOS / 2);
        backoff.recordSuccess();
        assertTrue(backoff.isAttemptAllowed(nowNanos));
    }
}
