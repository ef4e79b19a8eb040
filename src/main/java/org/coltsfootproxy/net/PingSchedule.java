package org.coltsfootproxy.net;

import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.message.Lane;

/**
 * Decides when a connection to a peer is pinged and when it counts as silent.
 *
 * <p>A connection that carries messages is pinged every {@link #MIN_INTERVAL_NANOS}; without
 * messages the interval doubles up to a bound for each lane, so that an idle fleet costs little.
 * Only a pong proves that both directions work. A pong that waits behind bulk data isn't missed as
 * long as the data moves. Times are nanoseconds of a monotonic clock.
 */
final class PingSchedule {
    /** What to do now. */
    enum Action {
        NONE,
        PING,
        CLOSE
    }

    /** Time between two pings of a connection that carries messages. */
    static final long MIN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Time in which a ping must be answered. */
    static final long PONG_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1000);

    /** Bytes that must have moved in a {@link #PONG_TIMEOUT_NANOS} to excuse a missing pong. */
    static final long BULK_BYTES = 64 << 10;

    private final long mMaxIntervalNanos;
    private long mIntervalNanos = MIN_INTERVAL_NANOS;
    private long mNextPingNanos;
    private long mPongDueNanos;
    private boolean mAwaiting;
    private boolean mSentSincePong;
    private long mMovedBytes;

    private PingSchedule(long maxIntervalNanos, long nowNanos) {
        mMaxIntervalNanos = maxIntervalNanos;
        mNextPingNanos = nowNanos + mIntervalNanos;
    }

    /** Returns the schedule of a connection that has just become ready. */
    static PingSchedule start(Lane lane, long nowNanos) {
        return new PingSchedule(maxInterval(lane), nowNanos);
    }

    /** Returns the longest time between two pings in a lane. */
    static long maxInterval(Lane lane) {
        return switch (lane) {
            case ONLINE -> TimeUnit.SECONDS.toNanos(4);
            case CONTROL -> TimeUnit.SECONDS.toNanos(8);
            case BATCH -> TimeUnit.SECONDS.toNanos(16);
        };
    }

    /** Notes that a message was sent. */
    void messageSent(long nowNanos) {
        mSentSincePong = true;
        busy(nowNanos);
    }

    /** Notes that a message arrived. */
    void messageReceived(long nowNanos) {
        busy(nowNanos);
    }

    private void busy(long nowNanos) {
        mIntervalNanos = MIN_INTERVAL_NANOS;
        mNextPingNanos = Math.min(mNextPingNanos, nowNanos + MIN_INTERVAL_NANOS);
    }

    /** Notes that bytes of any kind were taken by the socket or came from it. */
    void bytesMoved(long bytes) {
        mMovedBytes += bytes;
    }

    /** Notes that a pong arrived: both directions work. */
    void pongReceived() {
        mAwaiting = false;
        mSentSincePong = false;
    }

    /** Notes that the peer pinged; while nothing is to be proved its pings are enough. */
    void pingReceived(long nowNanos) {
        if (!mSentSincePong && !mAwaiting) {
            mIntervalNanos = Math.min(mIntervalNanos * 2, mMaxIntervalNanos);
            mNextPingNanos = nowNanos + mIntervalNanos + PONG_TIMEOUT_NANOS;
        }
    }

    /** Returns what to do now and counts it as done. */
    Action tick(long nowNanos) {
        if (mAwaiting) {
            return nowNanos < mPongDueNanos ? Action.NONE : pongMissing(nowNanos);
        }
        if (nowNanos < mNextPingNanos) {
            return Action.NONE;
        }
        mAwaiting = true;
        mMovedBytes = 0;
        mPongDueNanos = nowNanos + PONG_TIMEOUT_NANOS;
        mNextPingNanos = nowNanos + mIntervalNanos;
        mIntervalNanos = Math.min(mIntervalNanos * 2, mMaxIntervalNanos);
        return Action.PING;
    }

    private Action pongMissing(long nowNanos) {
        if (mMovedBytes < BULK_BYTES) {
            return Action.CLOSE;
        }
        mMovedBytes = 0;
        mPongDueNanos = nowNanos + PONG_TIMEOUT_NANOS;
        return Action.NONE;
    }

    /** Returns when {@link #tick} has something to do next. */
    long nextNanos() {
        return mAwaiting ? mPongDueNanos : mNextPingNanos;
    }
}
