package org.coltsfootproxy.job;

/** Converts times of a node's monotonic clock into wall-clock times, which deadlines need. */
@FunctionalInterface
public interface EpochClock {
    /** Nanoseconds in a millisecond. */
    long NANOS_PER_MILLI = 1_000_000;

    /** Returns the wall-clock time in milliseconds since 1970. */
    long epochMillis(long nowNanos);

    /** Returns a clock for which the two given times denote the same instant. */
    static EpochClock of(long nowNanos, long epochMillis) {
        return nanos -> epochMillis + (nanos - nowNanos) / NANOS_PER_MILLI;
    }
}
