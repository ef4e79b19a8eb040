package org.coltsfootproxy.runtime;

import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Detects that a host was suspended, by comparing the wall clock with the monotonic clock.
 *
 * <p>The monotonic clock stops during a suspension while the wall clock continues. A wall clock
 * that was set can't be distinguished and is reported too; such a false report only makes the host
 * confirm its configuration and its leadership once more.
 */
final class ClockJumpDetector {
    /** Smaller differences are ordinary clock adjustment. */
    private static final long TOLERANCE_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final LongSupplier mEpochMillis;
    private long mOffset;

    private ClockJumpDetector(LongSupplier epochMillis, long nowNanos) {
        mEpochMillis = epochMillis;
        mOffset = offset(nowNanos);
    }

    /** Returns a detector that compares the given wall clock with the monotonic clock. */
    static ClockJumpDetector create(LongSupplier epochMillis, long nowNanos) {
        return new ClockJumpDetector(epochMillis, nowNanos);
    }

    private long offset(long nowNanos) {
        return TimeUnit.MILLISECONDS.toNanos(mEpochMillis.getAsLong()) - nowNanos;
    }

    /**
     * Returns how many nanoseconds the wall clock has moved more than the monotonic clock since the
     * last reported jump; empty below the tolerance.
     */
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
