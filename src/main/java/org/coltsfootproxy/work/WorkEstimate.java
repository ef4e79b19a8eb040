package org.coltsfootproxy.work;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

/**
 * Expected cost of a call.
 *
 * @param meanMillis expected time that the call holds a slot of a target of usual speed, above 0
 * @param highMillis time that 90% of such calls do not exceed
 * @param memoryTokens most tokens that the call holds in the memory of its target
 * @param isBounded whether the caller has declared the sizes that {@code memoryTokens} consists of
 * @param source what the times follow from
 * @param samples weight of the ended calls that they follow from
 */
public record WorkEstimate(
        double meanMillis,
        double highMillis,
        int memoryTokens,
        boolean isBounded,
        Source source,
        double samples) {
    /** The estimate of a call of which nothing is known. */
    public static final WorkEstimate UNKNOWN =
            new WorkEstimate(500, 1_500, 0, false, Source.DECLARED, 0);

    /** What an estimate follows from, the coarsest first. */
    public enum Source {
        /** The declared sizes alone. */
        DECLARED,
        /** Calls of the same route. */
        ROUTE,
        /** Calls of the same route and organisation. */
        ORGANISATION,
        /** Calls of the same route, organisation and subject. */
        SUBJECT
    }

    /** Checks the components. */
    public WorkEstimate {
        checkArgument(meanMillis > 0, "meanMillis %s is not above 0", meanMillis);
        checkArgument(highMillis > 0, "highMillis %s is not above 0", highMillis);
        checkArgument(memoryTokens >= 0, "memoryTokens %s is below 0", memoryTokens);
        checkNotNull(source, "source is missing");
    }
}
