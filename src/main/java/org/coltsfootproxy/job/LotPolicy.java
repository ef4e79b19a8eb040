package org.coltsfootproxy.job;

import java.time.Duration;

/**
 * Derives the size of lots, the batches of items that agents pull, and the lease times from the
 * items' expected run time.
 */
final class LotPolicy {
    private static final int RUNS_PER_LEASE = 4;
    private static final double NANOS_PER_SECOND = 1e9;

    private final JobSettings mSettings;

    LotPolicy(JobSettings settings) {
        mSettings = settings;
    }

    /**
     * Returns the number of items that keep the slots busy for the configured lot time, from 1 to
     * the maximum lot size.
     *
     * @param runSeconds expected run time of one item
     */
    int items(int slots, double runSeconds) {
        double perSlot = Math.max(1, seconds(mSettings.lotTime()) / runSeconds);
        return (int) Math.max(1, Math.min(mSettings.maxLotItems(), slots * perSlot));
    }

    /**
     * Returns the lease time for items with the given run time: {@value #RUNS_PER_LEASE} runs,
     * within the configured bounds.
     */
    long leaseNanos(double runSeconds) {
        double seconds = RUNS_PER_LEASE * runSeconds;
        double min = seconds(mSettings.minLease());
        double max = seconds(mSettings.maxLease());
        return (long) (NANOS_PER_SECOND * Math.min(max, Math.max(min, seconds)));
    }

    private static double seconds(Duration duration) {
        return duration.toNanos() / NANOS_PER_SECOND;
    }
}
