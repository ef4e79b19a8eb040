package org.coltsfootproxy.runtime;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Notices that a host stood still while its monotonic clock did, by the time of day.
 *
 * <p>A time of day that was set looks alike; both are told, and cost only a confirmation.
 */
final class ClockWatch {
    /** Difference below which clocks are only adjusted. */
    private static final long TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final LongSupplier mEpochMillis;
    private long mOffset;

    private ClockWatch(LongSupplier epochMillis, long nowNanos) {
        mEpochMillis = epochMillis;
        mOffset = offset(nowNanos);
    }

    /** Returns a watch that compares the given time of day with the monotonic clock. */
    static ClockWatch create(LongSupplier epochMillis, long nowNanos) {
        return new ClockWatch(epochMillis, nowNanos);
    }

    private long offset(long nowNanos) {
        return TimeUnit.MILLISECONDS.toNanos(mEpochMillis.getAsLong()) - nowNanos;
    }

    /** Returns how far the clocks have moved apart since the last call, if it is far. */
    OptionalLong jump(long nowNanos) {
        long offset = offset(nowNanos);
        long jump = offset - mOffset;
        if (Math.abs(jump) < TOLERANCE_NANOS) {
            return OptionalLong.empty();
        }
        mOffset = offset;
        return OptionalLong.of(jump);
    }
}
