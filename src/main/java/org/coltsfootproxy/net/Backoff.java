package org.coltsfootproxy.net;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Exponential backoff with jitter for dialling a peer.
 *
 * <p>The delay doubles with each failure. One half of it is randomised, so that hosts that lost the
 * same peer don't dial it at the same time. Times are nanoseconds of a monotonic clock.
 */
final class Backoff {
    /** Maximum delay between two attempts. */
    static final long MAX_DELAY_NANOS = TimeUnit.SECONDS.toNanos(5);

    private static final long INITIAL_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final RandomGenerator mRandom;
    private long mDelayNanos = INITIAL_DELAY_NANOS;
    private long mNotBeforeNanos;
    private boolean mFailed;

    private Backoff(RandomGenerator random) {
        mRandom = random;
    }

    /** Returns a backoff without failures. */
    static Backoff of(RandomGenerator random) {
        return new Backoff(random);
    }

    /** Returns whether an attempt may be made now. */
    boolean isAttemptAllowed(long nowNanos) {
        return !mFailed || nowNanos >= mNotBeforeNanos;
    }

    /** Records a failed attempt. */
    void recordFailure(long nowNanos) {
        mFailed = true;
        long half = mDelayNanos / 2;
        mNotBeforeNanos = nowNanos + half + mRandom.nextLong(half + 1);
        mDelayNanos = Math.min(mDelayNanos * 2, MAX_DELAY_NANOS);
    }

    /** Records a successful attempt and resets the delay. */
    void recordSuccess() {
        mFailed = false;
        mDelayNanos = INITIAL_DELAY_NANOS;
    }
}
