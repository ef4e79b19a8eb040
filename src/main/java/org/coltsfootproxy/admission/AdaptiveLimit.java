package org.coltsfootproxy.admission;

/**
 * A limit that follows the target: up while it is used and answers in time, down when they slow.
 *
 * <p>Over windows of time it counts the samples that miss their target: the time between tokens and
 * the time to the first one. A window with more than {@link #MISS_SHARE} misses lowers the limit in
 * proportion; one without, in which the limit was reached, raises it. A target that batches
 * continuously makes every token dearer with each request in flight, so the limit settles where 95
 * of 100 gaps keep their target.
 */
final class AdaptiveLimit implements ConcurrencyLimit {
    private static final double MISS_SHARE = 0.05;
    private static final long WINDOW_NANOS = 250_000_000;
    private static final int MIN_SAMPLES = 20;
    private static final double LEAST_FACTOR = 0.7;
    private static final double MOST_FACTOR = 0.95;
    private static final int RISE_DIVISOR = 16;

    private AdmissionSettings mSettings;
    private int mLimit;
    private long mWindowStart = Long.MIN_VALUE;
    private int mSamples;
    private int mMisses;
    private double mExcess;
    private int mMostInFlight;

    private AdaptiveLimit(AdmissionSettings settings) {
        mSettings = settings;
        mLimit = settings.maxInFlight();
    }

    /** Returns a limit that starts at the service's maximum. */
    static AdaptiveLimit create(AdmissionSettings settings) {
        return new AdaptiveLimit(settings);
    }

    @Override
    public int limit() {
        return mLimit;
    }

    @Override
    public void gap(long gapNanos, int inFlight, long nowNanos) {
        sample(gapNanos, mSettings.gapTargetNanos(), inFlight, nowNanos);
    }

    @Override
    public void firstPiece(long waitNanos, int inFlight, long nowNanos) {
        sample(waitNanos, mSettings.firstTokenTargetNanos(), inFlight, nowNanos);
    }

    private void sample(long nanos, long target, int inFlight, long now) {
        if (mWindowStart == Long.MIN_VALUE) {
            mWindowStart = now;
        }
        mSamples++;
        mMostInFlight = Math.max(mMostInFlight, inFlight);
        if (nanos > target) {
            mMisses++;
            mExcess += (double) nanos / target;
        }
        if (now - mWindowStart >= WINDOW_NANOS && mSamples >= MIN_SAMPLES) {
            adjust();
            reset(now);
        }
    }

    private void adjust() {
        if (mMisses > MISS_SHARE * mSamples) {
            double factor = mMisses / mExcess;
            lower(Math.max(LEAST_FACTOR, Math.min(MOST_FACTOR, factor)));
        } else if (mMostInFlight >= mLimit) {
            mLimit = Math.min(mSettings.maxInFlight(), mLimit + 1 + mLimit / RISE_DIVISOR);
        }
    }

    private void lower(double factor) {
        int base = Math.min(mLimit, mMostInFlight);
        mLimit = Math.max(1, Math.min(base - 1, (int) (base * factor)));
    }

    private void reset(long now) {
        mWindowStart = now;
        mSamples = 0;
        mMisses = 0;
        mExcess = 0;
        mMostInFlight = 0;
    }

    @Override
    public void configure(AdmissionSettings settings) {
        boolean wasFull = mLimit == mSettings.maxInFlight();
        mSettings = settings;
        mLimit = wasFull ? settings.maxInFlight() : Math.min(mLimit, settings.maxInFlight());
    }
}
