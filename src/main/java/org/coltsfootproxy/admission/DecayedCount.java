package org.coltsfootproxy.admission;

/** A count whose value halves with each half-life. */
final class DecayedCount {
    private final long mHalfLifeNanos;
    private double mValue;
    private long mAt;

    DecayedCount(long halfLifeNanos, long nowNanos) {
        mHalfLifeNanos = halfLifeNanos;
        mAt = nowNanos;
    }

    void add(double amount, long nowNanos) {
        mValue = Math.max(0, value(nowNanos) + amount);
        mAt = nowNanos;
    }

    double value(long nowNanos) {
        return mValue * Math.pow(0.5, Math.max(0, nowNanos - mAt) / (double) mHalfLifeNanos);
    }
}
