package org.coltsfootproxy.job;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import org.coltsfootproxy.base.OrganisationId;

/**
 * Start-time fair queueing of organisations by the run time of their items.
 *
 * <p>An organisation's finish tag grows by run time divided by weight. After an idle period an
 * organisation starts at the current virtual time, so idle time earns no credit.
 */
final class FairShare {
    private final ToDoubleFunction<OrganisationId> mWeights;
    private final Map<OrganisationId, Double> mFinishTags = new HashMap<>();
    private double mVirtualTimeSeconds;

    private FairShare(ToDoubleFunction<OrganisationId> weights) {
        mWeights = weights;
    }

    /** Returns an instance without usage. */
    static FairShare create(ToDoubleFunction<OrganisationId> weights) {
        return new FairShare(weights);
    }

    double weight(OrganisationId organisation) {
        double weight = mWeights.applyAsDouble(organisation);
        return weight > 0 ? weight : 1;
    }

    /** Returns the start tag of the organisation's next item, in seconds of virtual time. */
    double startTag(OrganisationId organisation) {
        return Math.max(mVirtualTimeSeconds, mFinishTags.getOrDefault(organisation, 0.0));
    }

    /** Returns by how much run time the organisation is ahead of its share, in seconds. */
    double aheadSeconds(OrganisationId organisation) {
        return (startTag(organisation) - mVirtualTimeSeconds) * weight(organisation);
    }

    /**
     * Charges run time to an organisation.
     *
     * @param byShare whether the organisation was chosen by its share; a choice for a deadline does
     *     not advance the virtual time
     */
    void charge(OrganisationId organisation, double seconds, boolean byShare) {
        double startTag = startTag(organisation);
        if (byShare) {
            mVirtualTimeSeconds = startTag;
        }
        mFinishTags.put(organisation, startTag + seconds / weight(organisation));
    }

    /** Adds the difference between actual and charged run time, which is negative for a refund. */
    void correct(OrganisationId organisation, double seconds) {
        mFinishTags.computeIfPresent(
                organisation, (o, finishTag) -> finishTag + seconds / weight(organisation));
    }

    /**
     * Removes organisations that are not ahead of the virtual time, as they are treated like new
     * ones.
     */
    void trim() {
        mFinishTags.values().removeIf(finishTag -> finishTag <= mVirtualTimeSeconds);
    }
}
