package org.coltsfootproxy.net;

import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.message.Lane;

/**
 * Decides when a connection to a peer is pinged and when it is closed as unresponsive.
 *
 * <p>A connection that carries messages is pinged every {@link #MIN_INTERVAL_NANOS}. Without
 * messages the interval doubles up to a maximum per lane, which limits the traffic of an idle
 * fleet. Only a pong shows that both directions work. A pong may be delayed behind bulk data, so a
 * missing pong is tolerated as long as data is transferred. Times are nanoseconds of a monotonic
 * clock.
 */
final class PingSchedule {
    /** The action that is due. */
    enum Action {
        NONE,
        PING,
        CLOSE
    }

    /** Interval between pings of a connection that carries messages. */
    static final long MIN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Time within which a ping must be answered by a pong. */
    static final long PONG_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1000);

    /** Bytes to be transferred within {@link #PONG_TIMEOUT_NANOS} to tolerate a missing pong. */
    static final long MIN_PROGRESS_BYTES = 64 << 10;

    private final long mMaxIntervalNanos;
    private long mIntervalNanos = MIN_INTERVAL_NANOS;
    private long mNextPingNanos;
    private long mPongDueNanos;
    private boolean mAwaitingPong;
    private boolean mSentSinceLastPong;
    private long mTransferredBytes;

    private PingSchedule(long maxIntervalNanos, long nowNanos) {
        mMaxIntervalNanos = maxIntervalNanos;
        mNextPingNanos = nowNanos + mIntervalNanos;
    }

    /** Returns the schedule of a connection that has become ready at {@code nowNanos}. */
    static PingSchedule start(Lane lane, long nowNanos) {
        return new PingSchedule(longestIntervalNanos(lane), nowNanos);
    }

    /** Returns the maximum interval between pings of an idle connection in a lane. */
    static long longestIntervalNanos(Lane lane) {
        return switch (lane) {
            case ONLINE -> TimeUnit.SECONDS.toNanos(4);
            case CONTROL -> TimeUnit.SECONDS.toNanos(8);
            case BATCH -> TimeUnit.SECONDS.toNanos(16);
        };
    }

    /** Records that a message was sent. */
    void onMessageSent(long nowNanos) {
        mSentSinceLastPong = true;
        resetInterval(nowNanos);
    }

    /** Records that a message arrived. */
    void onMessageReceived(long nowNanos) {
        resetInterval(nowNanos);
    }

    private void resetInterval(long nowNanos) {
        mIntervalNanos = MIN_INTERVAL_NANOS;
        mNextPingNanos = Math.min(mNextPingNanos, nowNanos + MIN_INTERVAL_NANOS);
    }

    /** Records that bytes of any kind were written to the socket or read from it. */
    void onBytesTransferred(long bytes) {
        mTransferredBytes += bytes;
    }

    /** Records that a pong arrived, which shows that both directions work. */
    void onPongReceived() {
        mAwaitingPong = false;
        mSentSinceLastPong = false;
    }

    /**
     * Records that the peer sent a ping.
     *
     * <p>Postpones the next ping, unless a pong is awaited or a message was sent since the last
     * pong: then the peer's ping doesn't show that it receives what this side sends.
     */
    void onPingReceived(long nowNanos) {
        if (!mSentSinceLastPong && !mAwaitingPong) {
            mIntervalNanos = Math.min(mIntervalNanos * 2, mMaxIntervalNanos);
            mNextPingNanos = nowNanos + mIntervalNanos + PONG_TIMEOUT_NANOS;
        }
    }

    /** Returns the action that is due, and schedules the next one as if it had been taken. */
    Action tick(long nowNanos) {
        if (mAwaitingPong) {
            return nowNanos < mPongDueNanos ? Action.NONE : onPongOverdue(nowNanos);
        }
        if (nowNanos < mNextPingNanos) {
            return Action.NONE;
        }
        mAwaitingPong = true;
        mTransferredBytes = 0;
        mPongDueNanos = nowNanos + PONG_TIMEOUT_NANOS;
        mNextPingNanos = nowNanos + mIntervalNanos;
        mIntervalNanos = Math.min(mIntervalNanos * 2, mMaxIntervalNanos);
        return Action.PING;
    }

    private Action onPongOverdue(long nowNanos) {
        if (mTransferredBytes < MIN_PROGRESS_BYTES) {
            return Action.CLOSE;
        }
        mTransferredBytes = 0;
        mPongDueNanos = nowNanos + PONG_TIMEOUT_NANOS;
        return Action.NONE;
    }

    /** Returns when {@link #tick} is to be called next. */
    long nextActionNanos() {
        return mAwaitingPong ? mPongDueNanos : mNextPingNanos;
    }
}
