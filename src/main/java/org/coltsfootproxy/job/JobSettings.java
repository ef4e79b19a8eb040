package org.coltsfootproxy.job;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;

/**
 * Settings of the job service.
 *
 * @param limits quotas on jobs, items and bytes
 * @param retry attempts and backoff of failing items
 * @param retention how long ended jobs and their results are kept
 * @param receivingTimeout how long a job may stay incomplete after its last items were received
 * @param minLease minimum lease; the items of a lost agent are available again at most one second
 *     after its lease ends
 * @param maxLease maximum lease
 * @param lotTime expected run time of the items of a lot, per slot
 * @param maxLotItems maximum items of one lot
 * @param maxAdvance how far an organisation may get ahead of its fair share to meet deadlines at
 *     risk, in run time per batch slot of the service
 * @param continueLedgerTime whether a new leader continues from the time of the last command
 *     instead of using its host's wall clock, so that a clock change on a host does not affect jobs
 */
public record JobSettings(
        JobLimits limits,
        RetryPolicy retry,
        Duration retention,
        Duration receivingTimeout,
        Duration minLease,
        Duration maxLease,
        Duration lotTime,
        int maxLotItems,
        Duration maxAdvance,
        boolean continueLedgerTime) {

    public JobSettings {
        checkNotNull(limits, "limits are missing");
        checkNotNull(retry, "retry policy is missing");
        checkArgument(!retention.isNegative(), "retention %s is below 0", retention);
        checkArgument(
                !receivingTimeout.isNegative(),
                "receiving timeout %s is below 0",
                receivingTimeout);
        checkArgument(minLease.toMillis() >= 1_000, "minimum lease %s is below 1 s", minLease);
        checkArgument(
                maxLease.compareTo(minLease) >= 0,
                "maximum lease %s is below the minimum lease",
                maxLease);
        checkArgument(!lotTime.isNegative(), "lot time %s is below 0", lotTime);
        checkArgument(maxLotItems > 0, "maximum items of a lot %s is below 1", maxLotItems);
        checkArgument(!maxAdvance.isNegative(), "advance %s is below 0", maxAdvance);
    }

    /** Returns settings for items that run for 0.1 s to 60 s. */
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
     * Returns settings for stores of a few hundred megabytes whose jobs are due within seconds.
     * Leases are short, so that the items of a lost agent are soon available again. The retention
     * covers the two minutes for which the platform may read a result, plus the delay until a job's
     * end is recorded.
     */
    public static JobSettings forStores() {
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
                receivingTimeout,
                minLease,
                maxLease,
                lotTime,
                maxLotItems,
                maxAdvance,
                continueLedgerTime);
    }

    /** Returns these settings with another retention. */
    public JobSettings withRetention(Duration other) {
        return new JobSettings(
                limits,
                retry,
                other,
                receivingTimeout,
                minLease,
                maxLease,
                lotTime,
                maxLotItems,
                maxAdvance,
                continueLedgerTime);
    }

    /** Returns these settings with another lot time and maximum items of a lot. */
    public JobSettings withLots(Duration time, int maxItems) {
        return new JobSettings(
                limits,
                retry,
                retention,
                receivingTimeout,
                minLease,
                maxLease,
                time,
                maxItems,
                maxAdvance,
                continueLedgerTime);
    }

    /** Returns these settings with another maximum advance. */
    public JobSettings withMaxAdvance(Duration other) {
        return new JobSettings(
                limits,
                retry,
                retention,
                receivingTimeout,
                minLease,
                maxLease,
                lotTime,
                maxLotItems,
                other,
                continueLedgerTime);
    }
}
