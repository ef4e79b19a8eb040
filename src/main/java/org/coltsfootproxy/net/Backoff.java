package org.coltsfootproxy.net;

import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;

/**
 * Decides when a peer that could not be reached is dialled again.
 *
 * <p>The time doubles with each failure; a random half of it spreads those that lost the same peer.
 */
final class Backoff {
    /** Longest time between two attempts. */
    static final long MAX_NANOS = TimeUnit.SECONDS.toNanos(5);

    private static final long FIRST_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final RandomGenerator mRandom;
    private long mStepNanos = FIRST_NANOS;
    private long mNotBeforeNanos;
    private boolean mFailed;

    private Backoff(RandomGenerator random) {
        mRandom = random;
    }

    /** Returns a back-off without failures. */
    static Backoff of(RandomGenerator random) {
        return new Backoff(random);
    }

    /** Tells whether an attempt may be made. */
    boolean isOpen(long nowNanos) {
        return !mFailed || nowNanos >= mNotBeforeNanos;
    }

    /** Notes a failed attempt. */
    void failed(long nowNanos) {
        mFailed = true;
        long half = mStepNanos / 2;
        mNotBeforeNanos = nowNanos + half + mRandom.nextLong(half + 1);
        mStepNanos = Math.min(mStepNanos * 2, MAX_NANOS);
    }

    /** Notes a successful attempt. */
    void succeeded() {
        mFailed = false;
        mStepNanos = FIRST_NANOS;
    }
}
