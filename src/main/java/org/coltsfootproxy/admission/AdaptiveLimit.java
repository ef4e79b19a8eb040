package org.coltsfootproxy.admission;

/**
 * A concurrency limit that adapts to the latency of the target.
 *
 * <p>In each time window it counts the samples that exceed their latency target: the times between
 * tokens and the times to the first token. If the share of misses in a window exceeds {@link
 * #MAX_MISS_SHARE}, the limit is divided by the mean ratio of the late samples to their target,
 * which lowers it by 5% to 30%. Otherwise, if the limit was reached, it increases. In a target with
 * continuous batching, each request in flight slows down every token, so the limit settles where 95
 * of 100 gaps between tokens meet their target.
 */
final class AdaptiveLimit implements ConcurrencyLimit {
    private static final double MAX_MISS_SHARE = 0.05;
    private static final long WINDOW_NANOS = 250_000_000;
    private static final int MIN_SAMPLES = 20;
    private static final double MIN_DECREASE_FACTOR = 0.7;
    private static final double MAX_DECREASE_FACTOR = 0.95;
    private static final int INCREASE_DIVISOR = 16;

    private AdmissionSettings mSettings;
    private int mLimit;
    private long mWindowStart = Long.MIN_VALUE;
    private int mSamples;
    private int mMisses;
    private double mMissRatioSum;
    private int mPeakInFlight;

    private AdaptiveLimit(AdmissionSettings settings) {
        mSettings = settings;
        mLimit = settings.maxInFlight();
    }

    /** Returns a limit that starts at the configured maximum. */
    static AdaptiveLimit create(AdmissionSettings settings) {
        return new AdaptiveLimit(settings);
    }

    @Override
    public int limit() {
        return mLimit;
    }

    @Override
    public void recordGap(long gapNanos, int inFlight, long nowNanos) {
        addSample(gapNanos, mSettings.gapTargetNanos(), inFlight, nowNanos);
    }

    @Override
    public void recordFirstChunk(long waitNanos, int inFlight, long nowNanos) {
        addSample(waitNanos, mSettings.firstTokenTargetNanos(), inFlight, nowNanos);
    }

    private void addSample(long nanos, long target, int inFlight, long now) {
        if (mWindowStart == Long.MIN_VALUE) {
            mWindowStart = now;
        }
        mSamples++;
        mPeakInFlight = Math.max(mPeakInFlight, inFlight);
        if (nanos > target) {
            mMisses++;
            mMissRatioSum += (double) nanos / target;
        }
        if (now - mWindowStart >= WINDOW_NANOS && mSamples >= MIN_SAMPLES) {
            adjust();
            startWindow(now);
        }
    }

    private void adjust() {
        if (mMisses > MAX_MISS_SHARE * mSamples) {
            double factor = mMisses / mMissRatioSum;
            decrease(Math.max(MIN_DECREASE_FACTOR, Math.min(MAX_DECREASE_FACTOR, factor)));
        } else if (mPeakInFlight >= mLimit) {
            mLimit = Math.min(mSettings.maxInFlight(), mLimit + 1 + mLimit / INCREASE_DIVISOR);
        }
    }

    private void decrease(double factor) {
        int base = Math.min(mLimit, mPeakInFlight);
        mLimit = Math.max(1, Math.min(base - 1, (int) (base * factor)));
    }

    private void startWindow(long now) {
        mWindowStart = now;
        mSamples = 0;
        mMisses = 0;
        mMissRatioSum = 0;
        mPeakInFlight = 0;
    }

    @Override
    public void configure(AdmissionSettings settings) {
        boolean wasAtMaximum = mLimit == mSettings.maxInFlight();
        mSettings = settings;
        mLimit = wasAtMaximum ? settings.maxInFlight() : Math.min(mLimit, settings.maxInFlight());
    }
}
