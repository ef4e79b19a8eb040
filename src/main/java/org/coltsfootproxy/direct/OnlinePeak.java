package org.coltsfootproxy.direct;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;

/** The highest number of online requests in flight within a sliding window. */
final class OnlinePeak {
    /** Length of the window: several times as long as most requests hold their slots. */
    static final long WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    /** Numbers that are higher than all later ones, the oldest first. */
    private final Deque<Sample> mSamples = new ArrayDeque<>();

    private record Sample(int online, long at) {}

    /** Adds the number of requests in flight now. */
    void observe(int online, long nowNanos) {
        while (!mSamples.isEmpty() && mSamples.peekLast().online() <= online) {
            mSamples.removeLast();
        }
        mSamples.addLast(new Sample(online, nowNanos));
        expire(nowNanos);
    }

    private void expire(long nowNanos) {
        while (mSamples.size() > 1 && nowNanos - mSamples.peekFirst().at() >= WINDOW_NANOS) {
            mSamples.removeFirst();
        }
    }

    /** Returns the highest number in the window; the latest one if it is older; 0 if none. */
    int highest(long nowNanos) {
        expire(nowNanos);
        return mSamples.isEmpty() ? 0 : mSamples.peekFirst().online();
    }
}
