package org.coltsfootproxy.job;

import java.time.Duration;

/** Sizes of lots and times of leases, which follow the items' run time. */
final class LotPolicy {
    private static final int LEASE_RUNS = 4;
    private static final double NANOS = 1e9;

    private final JobSettings mSettings;

    LotPolicy(JobSettings settings) {
        mSettings = settings;
    }

    /**
     * Returns the number of items that bring the slots the work of a lot.
     *
     * @param runSeconds expected run time of an item
     */
    int items(int slots, double runSeconds) {
        double perSlot = Math.max(1, seconds(mSettings.lotTime()) / runSeconds);
        return (int) Math.max(1, Math.min(mSettings.maxLot(), slots * perSlot));
    }

    /** Returns the time of a lease on items that run so long, in nanoseconds. */
    long leaseNanos(double runSeconds) {
        double seconds = LEASE_RUNS * runSeconds;
        double least = seconds(mSettings.minLease());
        double most = seconds(mSettings.maxLease());
        return (long) (NANOS * Math.min(most, Math.max(least, seconds)));
    }

    private static double seconds(Duration duration) {
        return duration.toNanos() / NANOS;
    }
}
