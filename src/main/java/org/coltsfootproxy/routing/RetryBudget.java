package org.coltsfootproxy.routing;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Bounds retries to a share of requests, so that retries can't multiply an overload.
 *
 * <p>Each first try adds {@code ratio} tokens up to {@code most}; each retry takes one.
 */
public final class RetryBudget {
    private final double mRatio;
    private final double mMost;
    private double mTokens;

    private RetryBudget(double ratio, double most) {
        checkArgument(ratio >= 0 && ratio <= 1, "ratio %s", ratio);
        checkArgument(most >= 1, "most %s", most);
        mRatio = ratio;
        mMost = most;
        mTokens = most;
    }

    /**
     * Returns a full budget.
     *
     * @param ratio retries for each request, from 0 to 1
     * @param most retries that may be saved up
     */
    public static RetryBudget of(double ratio, double most) {
        return new RetryBudget(ratio, most);
    }

    /** Notes a first try. */
    public void request() {
        mTokens = Math.min(mMost, mTokens + mRatio);
    }

    /** Takes a token if there is one. */
    public boolean tryRetry() {
        if (mTokens < 1) {
            return false;
        }
        mTokens--;
        return true;
    }

    /** Returns the retries that are left now. */
    public double left() {
        return mTokens;
    }
}
