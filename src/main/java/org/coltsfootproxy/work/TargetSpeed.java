package org.coltsfootproxy.work;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.OptionalDouble;
import java.util.concurrent.TimeUnit;

/**
 * How long work takes at one target, as a multiple of the usual time.
 *
 * <p>It is the learned long-run speed times the figure that the target told recently. The figure
 * may refer to the usual time of that machine or of all machines, so the long-run speed is learned
 * in relation to it. Figures that explain the measured times less well than no figure are ignored.
 */
public final class TargetSpeed {
    /** How long a figure is fresh: shorter than the phases in which targets are slow. */
    private static final long FRESH_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Weight of the last call in the moving averages. */
    private static final double LAST_SAMPLE_WEIGHT = 0.04;

    /** Number of calls as which the usual speed counts. */
    private static final double PRIOR_SAMPLES = 12;

    /** Calls after which figures can be found to be false. */
    private static final int MIN_SAMPLES_FOR_DISTRUST = 20;

    /** Factor between the variances from which figures are ignored; equal ones differ by chance. */
    private static final double MAX_VARIANCE_RATIO = 1.2;

    private static final double MAX_LOG = Math.log(4);

    private final Average mWithFigure = new Average();
    private final Average mWithoutFigure = new Average();
    private double mTold = 1;
    private long mToldAt = Long.MIN_VALUE / 2;

    /** Moving average of logarithms and of their squared deviations. */
    private static final class Average {
        private double mMean;
        private double mVariance;
        private int mSamples;

        void add(double sample) {
            double clipped = Math.min(MAX_LOG, Math.max(-MAX_LOG, sample));
            mSamples++;
            double share = Math.max(LAST_SAMPLE_WEIGHT, 1.0 / mSamples);
            double difference = clipped - mMean;
            mMean += share * difference;
            mVariance += share * (difference * (clipped - mMean) - mVariance);
        }

        double factor() {
            return Math.exp(mMean * mSamples / (mSamples + PRIOR_SAMPLES));
        }
    }

    /** Notes a figure that the target told. */
    public void told(double speed, long nowNanos) {
        checkArgument(speed > 0, "speed %s is not above 0", speed);
        mTold = speed;
        mToldAt = nowNanos;
    }

    /** Returns the figure that the target told recently. */
    public OptionalDouble told(long nowNanos) {
        return nowNanos - mToldAt < FRESH_NANOS ? OptionalDouble.of(mTold) : OptionalDouble.empty();
    }

    /**
     * Learns from a call that has ended.
     *
     * @param ratio measured time, as a multiple of the estimate for a target of usual speed
     * @param told the figure told while the call ran; empty if none was
     */
    public void observed(double ratio, OptionalDouble told) {
        double log = Math.log(Math.max(1e-3, ratio));
        mWithoutFigure.add(log);
        if (told.isPresent()) {
            mWithFigure.add(log - Math.log(told.getAsDouble()));
        }
    }

    /** Returns the learned speed, without what the target told recently. */
    public double longRun(long nowNanos) {
        return isToldUsed(nowNanos) ? mWithFigure.factor() : mWithoutFigure.factor();
    }

    /** Returns the speed now. */
    public double current(long nowNanos) {
        return longRun(nowNanos) * (isToldUsed(nowNanos) ? mTold : 1);
    }

    private boolean isToldUsed(long nowNanos) {
        boolean isTrusted =
                mWithFigure.mSamples < MIN_SAMPLES_FOR_DISTRUST
                        || mWithFigure.mVariance <= MAX_VARIANCE_RATIO * mWithoutFigure.mVariance;
        return isTrusted && nowNanos - mToldAt < FRESH_NANOS;
    }
}
