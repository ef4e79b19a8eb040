package org.coltsfootproxy.job;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;

/**
 * Settings of the job service.
 *
 * @param limits bounds on what is taken in
 * @param retry attempts of a failing item
 * @param retention how long ended jobs and their results are kept
 * @param receiving how long a job may stay unfinished in its sending
 * @param minLease shortest lease; a dead agent's items are free after its lease and one second
 * @param maxLease longest lease
 * @param lotTime work that a lot should bring to each slot
 * @param maxLot most items of one lot
 * @param advance how far deadlines at risk may bring an organisation ahead of its fair share, as
 *     time of the whole service's batch capacity
 * @param steadyTime whether time goes on from the last command instead of following the time of day
 *     of whichever host leads, so that a clock that was set harms no job
 */
public record JobSettings(
        JobLimits limits,
        RetryPolicy retry,
        Duration retention,
        Duration receiving,
        Duration minLease,
        Duration maxLease,
        Duration lotTime,
        int maxLot,
        Duration advance,
        boolean steadyTime) {
    /** Checks the parts. */
    public JobSettings {
        checkNotNull(limits, "limits are missing");
        checkNotNull(retry, "retry policy is missing");
        checkArgument(!retention.isNegative(), "retention %s is below 0", retention);
        checkArgument(!receiving.isNegative(), "receiving time %s is below 0", receiving);
        checkArgument(minLease.toMillis() >= 1_000, "shortest lease %s is below 1 s", minLease);
        checkArgument(maxLease.compareTo(minLease) >= 0, "longest lease %s", maxLease);
        checkArgument(!lotTime.isNegative(), "lot time %s is below 0", lotTime);
        checkArgument(maxLot > 0, "items in a lot %s", maxLot);
        checkArgument(!advance.isNegative(), "advance %s is below 0", advance);
    }

    /** Returns settings that suit items of a tenth of a second to a minute. */
    public static JobSettings defaults() {
        return new JobSettings(
                JobLimits.defaults(),
                RetryPolicy.defaults(),
                Duration.ofDays(1),
                Duration.ofHours(1),
                Duration.ofSeconds(6),
                Duration.ofSeconds(30),
                Duration.ofSeconds(1),
                64,
                Duration.ofMinutes(1),
                false);
    }

    /**
     * Returns the settings of stores of a few hundred megabytes whose jobs are due within seconds:
     * short leases, so that a lost worker's items are soon free, and a result that stays readable
     * for the platform's two minutes and what the end of a job lags.
     */
    public static JobSettings forFleet() {
        JobLimits limits = new JobLimits(1_000, 4_000, 100_000, 48L << 20, 48L << 20);
        return new JobSettings(
                limits,
                new RetryPolicy(5, 200, 2_000),
                Duration.ofSeconds(180),
                Duration.ofSeconds(180),
                Duration.ofSeconds(3),
                Duration.ofSeconds(3),
                Duration.ZERO,
                64,
                Duration.ofSeconds(10),
                true);
    }

    /** Returns these settings with other limits. */
    public JobSettings withLimits(JobLimits other) {
        return new JobSettings(
                other,
                retry,
                retention,
                receiving,
                minLease,
                maxLease,
                lotTime,
                maxLot,
                advance,
                steadyTime);
    }

    /** Returns these settings with another retention. */
    public JobSettings withRetention(Duration other) {
        return new JobSettings(
                limits,
                retry,
                other,
                receiving,
                minLease,
                maxLease,
                lotTime,
                maxLot,
                advance,
                steadyTime);
    }

    /** Returns these settings with another size of lots. */
    public JobSettings withLots(Duration time, int most) {
        return new JobSettings(
                limits,
                retry,
                retention,
                receiving,
                minLease,
                maxLease,
                time,
                most,
                advance,
                steadyTime);
    }

    /** Returns these settings with another advance. */
    public JobSettings withAdvance(Duration other) {
        return new JobSettings(
                limits,
                retry,
                retention,
                receiving,
                minLease,
                maxLease,
                lotTime,
                maxLot,
                other,
                steadyTime);
    }
}
