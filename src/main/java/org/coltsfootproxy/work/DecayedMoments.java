package org.coltsfootproxy.work;

/** Mean and variance of samples whose weight halves with each half-life. */
final class DecayedMoments {
    /** Samples beyond this many standard deviations count as if they were at that distance. */
    private static final double MAX_DEVIATIONS = 3;

    private double mWeight;
    private double mMean;
    private double mVariance;

    /** Reduces the weight of the samples so far. */
    void decay(double factor) {
        mWeight *= factor;
    }

    /**
     * Adds a sample.
     *
     * @param expected mean and variance that are known without the samples here
     * @param weight weight of the sample, above 0
     */
    void add(double sample, Moments expected, double weight) {
        double deviation = MAX_DEVIATIONS * Math.sqrt(expected.variance());
        double low = expected.mean() - deviation;
        double high = expected.mean() + deviation;
        double clipped = Math.min(high, Math.max(low, sample));
        mWeight += weight;
        double share = weight / mWeight;
        double difference = clipped - mMean;
        mMean += share * difference;
        mVariance += share * (difference * (clipped - mMean) - mVariance);
    }

    double weight() {
        return mWeight;
    }

    /** Returns the moments, shrunk towards a prior that counts as much as some samples. */
    Moments shrunk(Moments prior, double priorWeight) {
        double total = mWeight + priorWeight;
        double share = mWeight / total;
        double difference = mMean - prior.mean();
        return new Moments(
                prior.mean() + share * difference,
                share * mVariance
                        + (1 - share) * prior.variance()
                        + share * (1 - share) * difference * difference);
    }

    /** Mean and variance. */
    record Moments(double mean, double variance) {}
}
