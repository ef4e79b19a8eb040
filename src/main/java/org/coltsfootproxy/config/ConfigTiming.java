package org.coltsfootproxy.config;

import static com.google.common.base.Preconditions.checkArgument;

import java.time.Duration;

/**
 * Intervals of the configuration's dissemination.
 *
 * @param renewNanos time between two renewals of a subscriber
 * @param freshNanos time from sending a renewal for which its confirmation holds
 * @param silenceNanos time without a confirmation after which a subscriber tries the next host
 * @param confirmNanos time between two quorum confirmations of a control host
 */
public record ConfigTiming(long renewNanos, long freshNanos, long silenceNanos, long confirmNanos) {
    /** Greatest difference of a clock's speed from true time, as a share of it. */
    public static final double MAX_CLOCK_DRIFT = 0.02;

    /** The intervals used unless settings say otherwise. */
    public static final ConfigTiming DEFAULT =
            new ConfigTiming(
                    Duration.ofMillis(1000).toNanos(),
                    Duration.ofMillis(4000).toNanos(),
                    Duration.ofMillis(1800).toNanos(),
                    Duration.ofMillis(200).toNanos());

    /** Checks that a lost renewal and a change of host fit into the freshness. */
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

    /** Returns {@code nanos} shortened so that a clock within the drift bound never overstays. */
    public static long holderNanos(long nanos) {
        return (long) (nanos * (1 - MAX_CLOCK_DRIFT));
    }

    /** Returns {@code nanos} lengthened so that a clock within the drift bound waits enough. */
    public static long granterNanos(long nanos) {
        return (long) (nanos * (1 + MAX_CLOCK_DRIFT)) + 1;
    }
}
