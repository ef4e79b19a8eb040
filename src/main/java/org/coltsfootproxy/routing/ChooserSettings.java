package org.coltsfootproxy.routing;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Settings of the least-loaded {@link AgentChooser}.
 *
 * @param subsetSize maximum number of agents that an entry keeps connections to for one service
 * @param candidates number of agents whose load is compared for one request
 * @param affinityCandidates number of agents preferred for requests with the same prompt prefix; 0
 *     disables affinity
 * @param affinitySlack how far the load of a preferred agent may exceed that of the best candidate,
 *     as a share of the limit
 * @param maxReportAgeNanos age from which a report has no weight
 * @param failuresToEject consecutive failures after which an agent is ejected
 * @param ejectionNanos duration of the first ejection; it doubles with each further one
 * @param maxEjectionNanos maximum time that an agent is ejected without a probe
 * @param maxEjectedShare maximum share of the subset that is ejected at the same time, from 0 to 1
 */
public record ChooserSettings(
        int subsetSize,
        int candidates,
        int affinityCandidates,
        double affinitySlack,
        long maxReportAgeNanos,
        int failuresToEject,
        long ejectionNanos,
        long maxEjectionNanos,
        double maxEjectedShare) {
    private static final long SECOND_NANOS = 1_000_000_000;

    /** Validates the settings. */
    public ChooserSettings {
        checkArgument(subsetSize >= 1, "subsetSize %s must be at least 1", subsetSize);
        checkArgument(candidates >= 1, "candidates %s must be at least 1", candidates);
        checkArgument(
                affinityCandidates >= 0,
                "affinityCandidates %s must not be negative",
                affinityCandidates);
        checkArgument(affinitySlack >= 0, "affinitySlack %s must not be negative", affinitySlack);
        checkArgument(
                maxReportAgeNanos > 0, "maxReportAgeNanos %s must be positive", maxReportAgeNanos);
        checkArgument(
                failuresToEject >= 1, "failuresToEject %s must be at least 1", failuresToEject);
        checkArgument(ejectionNanos > 0, "ejectionNanos %s must be positive", ejectionNanos);
        checkArgument(
                maxEjectionNanos >= ejectionNanos,
                "maxEjectionNanos %s must be at least ejectionNanos",
                maxEjectionNanos);
        checkArgument(
                maxEjectedShare >= 0 && maxEjectedShare <= 1,
                "maxEjectedShare %s must be from 0 to 1",
                maxEjectedShare);
    }

    /** Returns the default settings. */
    public static ChooserSettings defaults() {
        return new ChooserSettings(
                16, 3, 2, 0.25, 2 * SECOND_NANOS, 3, SECOND_NANOS, 30 * SECOND_NANOS, 0.5);
    }
}
