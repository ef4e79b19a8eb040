package org.coltsfootproxy.job;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.coltsfootproxy.base.OrganisationId;

/**
 * Start-time fair queueing of organisations by the run time of their items.
 *
 * <p>An organisation's tag grows by run time over weight. One that was idle starts from the virtual
 * time: idleness earns no claim on later capacity.
 */
final class FairShare {
    private final ToDoubleFunction<OrganisationId> mWeights;
    private final Map<OrganisationId, Double> mFinish = new HashMap<>();
    private double mVirtualSeconds;

    private FairShare(ToDoubleFunction<OrganisationId> weights) {
        mWeights = weights;
    }

    /** Returns a share in which no organisation has used anything. */
    static FairShare create(ToDoubleFunction<OrganisationId> weights) {
        return new FairShare(weights);
    }

    double weight(OrganisationId organisation) {
        double weight = mWeights.applyAsDouble(organisation);
        return weight > 0 ? weight : 1;
    }

    /** Returns the virtual time at which the organisation's next item starts. */
    double start(OrganisationId organisation) {
        return Math.max(mVirtualSeconds, mFinish.getOrDefault(organisation, 0.0));
    }

    /** Returns run time that the organisation is ahead of its share, in seconds. */
    double aheadSeconds(OrganisationId organisation) {
        return (start(organisation) - mVirtualSeconds) * weight(organisation);
    }

    /**
     * Charges run time.
     *
     * @param byShare whether the organisation was chosen by its share; one chosen for a deadline
     *     doesn't move the virtual time
     */
    void charge(OrganisationId organisation, double seconds, boolean byShare) {
        double start = start(organisation);
        if (byShare) {
            mVirtualSeconds = start;
        }
        mFinish.put(organisation, start + seconds / weight(organisation));
    }

    /** Corrects a charge by what the item really took, or gives it back. */
    void correct(OrganisationId organisation, double seconds) {
        mFinish.computeIfPresent(
                organisation, (o, finish) -> finish + seconds / weight(organisation));
    }

    /** Forgets organisations that are not ahead of the virtual time. */
    void trim() {
        mFinish.values().removeIf(finish -> finish <= mVirtualSeconds);
    }
}
