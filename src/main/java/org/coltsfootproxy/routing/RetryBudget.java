package org.coltsfootproxy.routing;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Limits retries to a share of requests so that they cannot amplify an overload.
 *
 * <p>Each first attempt adds {@code ratio} tokens up to {@code maxTokens}; each retry takes one.
 */
public final class RetryBudget {
    private final double mRatio;
    private final double mMaxTokens;
    private double mTokens;

    private RetryBudget(double ratio, double maxTokens) {
        checkArgument(ratio >= 0 && ratio <= 1, "ratio %s must be from 0 to 1", ratio);
        checkArgument(maxTokens >= 1, "maxTokens %s must be at least 1", maxTokens);
        mRatio = ratio;
        mMaxTokens = maxTokens;
        mTokens = maxTokens;
    }

    /**
     * Returns a full budget.
     *
     * @param ratio retries allowed per request, from 0 to 1
     * @param maxTokens maximum number of retries that may accumulate
     */
    public static RetryBudget of(double ratio, double maxTokens) {
        return new RetryBudget(ratio, maxTokens);
    }

    /** Records the first attempt of a request. */
    public void recordRequest() {
        mTokens = Math.min(mMaxTokens, mTokens + mRatio);
    }

    /** Takes a token if one is available; returns whether the retry is allowed. */
    public boolean tryRetry() {
        if (mTokens < 1) {
            return false;
        }
        mTokens--;
        return true;
    }

    /** Returns the number of retries that are allowed now. */
    public double left() {
        return mTokens;
    }
}
