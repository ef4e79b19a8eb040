package org.coltsfootproxy.config;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * Intervals for the dissemination of the configuration to subscribers.
 *
 * @param renewNanos time between two renewals of a subscriber
 * @param freshNanos validity of a confirmation, counted from the sending of its renewal
 * @param silenceNanos time without a confirmation after which a subscriber fails over to the next
 *     control host
 * @param confirmNanos time between two quorum confirmations of a control host
 */
public record ConfigTiming(long renewNanos, long freshNanos, long silenceNanos, long confirmNanos) {
    /** Maximum deviation of the rate of a clock from true time, as a fraction. */
    public static final double MAX_CLOCK_DRIFT = 0.02;

    /** The intervals used unless the settings give others. */
    public static final ConfigTiming DEFAULT =
            new ConfigTiming(
                    Duration.ofMillis(1000).toNanos(),
                    Duration.ofMillis(4000).toNanos(),
                    Duration.ofMillis(1800).toNanos(),
                    Duration.ofMillis(200).toNanos());

    /** Checks that the freshness period leaves time for a lost renewal and a failover. */
    public ConfigTiming {
        checkArgument(confirmNanos > 0, "confirmNanos %s is not positive", confirmNanos);
        checkArgument(
                renewNanos > confirmNanos,
                "renewNanos %s is not above confirmNanos %s",
                renewNanos,
                confirmNanos);
        checkArgument(
                silenceNanos > renewNanos,
                "silenceNanos %s is not above renewNanos %s",
                silenceNanos,
                renewNanos);
        checkArgument(
                freshNanos > silenceNanos,
                "freshNanos %s is not above silenceNanos %s",
                freshNanos,
                silenceNanos);
    }

    /**
     * Returns {@code nanos} shortened, so that a lease holder stops in time even if its clock runs
     * slow by the maximum drift.
     */
    public static long shortenForDrift(long nanos) {
        return (long) (nanos * (1 - MAX_CLOCK_DRIFT));
    }

    /**
     * Returns {@code nanos} lengthened, so that a lease granter waits long enough even if its clock
     * runs fast by the maximum drift.
     */
    public static long lengthenForDrift(long nanos) {
        return (long) (nanos * (1 + MAX_CLOCK_DRIFT)) + 1;
    }
}
