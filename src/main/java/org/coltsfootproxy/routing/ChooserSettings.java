package org.coltsfootproxy.routing;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Settings of the choice of agents.
 *
 * @param subsetSize most agents that an entry keeps connections to for one service
 * @param candidates agents compared for one request
 * @param affinityCandidates agents that requests with the same prompt prefix go to
 * @param affinitySlack load above the best candidate's, as a share of the limit, up to which
 *     affinity is kept
 * @param reportLifeNanos age at which a report counts for nothing
 * @param failuresToSetAside failures in a row that set an agent aside
 * @param setAsideNanos how long an agent is first set aside; doubles each time
 * @param maxSetAsideNanos longest time that an agent is set aside without a probe
 * @param maxSetAsideShare most of the subset that is set aside at a time, from 0 to 1
 */
public record ChooserSettings(
        int subsetSize,
        int candidates,
        int affinityCandidates,
        double affinitySlack,
        long reportLifeNanos,
        int failuresToSetAside,
        long setAsideNanos,
        long maxSetAsideNanos,
        double maxSetAsideShare) {
    private static final long SECOND_NANOS = 1_000_000_000;

    /** Checks the settings. */
    public ChooserSettings {
        checkArgument(subsetSize >= 1, "subset size %s", subsetSize);
        checkArgument(candidates >= 1, "candidates %s", candidates);
        checkArgument(affinityCandidates >= 0, "affinity candidates %s", affinityCandidates);
        checkArgument(affinitySlack >= 0, "affinity slack %s", affinitySlack);
        checkArgument(reportLifeNanos > 0, "report life %s", reportLifeNanos);
        checkArgument(failuresToSetAside >= 1, "failures %s", failuresToSetAside);
        checkArgument(setAsideNanos > 0, "set aside for %s", setAsideNanos);
        checkArgument(maxSetAsideNanos >= setAsideNanos, "most set aside %s", maxSetAsideNanos);
        checkArgument(maxSetAsideShare >= 0 && maxSetAsideShare <= 1, "share %s", maxSetAsideShare);
    }

    /** Returns the default settings. */
    public static ChooserSettings defaults() {
        return new ChooserSettings(
                16, 3, 2, 0.25, 2 * SECOND_NANOS, 3, SECOND_NANOS, 30 * SECOND_NANOS, 0.5);
    }
}
