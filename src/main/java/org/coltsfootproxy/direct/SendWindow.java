package org.coltsfootproxy.direct;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

/** The calls that this host has sent to one target within the last second and a bit more. */
final class SendWindow {
    /** Time within which a call must be sent after it was counted. */
    static final long SEND_WITHIN_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /** A bound holds for any one second, whenever in their time the calls are sent. */
    static final long LENGTH_NANOS = TimeUnit.SECONDS.toNanos(1) + SEND_WITHIN_NANOS;

    private final ArrayDeque<Long> mSentAt = new ArrayDeque<>();

    void sent(long nowNanos) {
        forget(nowNanos);
        mSentAt.add(nowNanos);
    }

    /** Returns how many calls may be sent now if {@code quota} may be within a window. */
    int allowedCalls(int quota, long nowNanos) {
        forget(nowNanos);
        return Math.max(0, quota - mSentAt.size());
    }

    /** Returns the time until a call may be sent if {@code quota}, at least 1, may be. */
    long waitNanos(int quota, long nowNanos) {
        forget(nowNanos);
        return mSentAt.stream()
                .skip(Math.max(0, mSentAt.size() - quota))
                .limit(mSentAt.size() < quota ? 0 : 1)
                .mapToLong(sentAt -> sentAt + LENGTH_NANOS - nowNanos)
                .findFirst()
                .orElse(0);
    }

    private void forget(long nowNanos) {
        while (!mSentAt.isEmpty() && nowNanos - mSentAt.peek() >= LENGTH_NANOS) {
            mSentAt.remove();
        }
    }
}
