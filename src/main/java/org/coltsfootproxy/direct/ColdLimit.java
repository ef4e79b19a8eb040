package org.coltsfootproxy.direct;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.config.Service;
import org.coltsfootproxy.message.ListedTarget;

/**
 * The limit for one target in case that it is cold.
 *
 * <p>A target may become cold at any moment, and hosts learn it later. So this host's part of the
 * calls that a cold target stands binds at all times; while the target is known to be cold, the
 * service's rate is shared by all hosts as well.
 */
final class ColdLimit {
    private static final ColdLimit NONE = new ColdLimit(new ColdLimits(), null);

    private final ColdLimits mLimits;
    private final SendWindow mWindow;
    private ListedTarget mListed;
    private boolean mIsCounting;
    private long mListedColdUntil;
    private boolean mIsNamed;
    private long mNamedColdUntil;
    private int mQuotaVersion = -1;
    private int mQuota;

    ColdLimit(ColdLimits limits, ListedTarget listed) {
        mLimits = limits;
        mListed = listed;
        mWindow = listed == null ? new SendWindow() : limits.window(listed.id());
    }

    /** Returns the limit for targets that are never cold. */
    static ColdLimit none() {
        return NONE;
    }

    private Optional<Service.ColdStart> limit() {
        return mListed == null ? Optional.empty() : mLimits.of(mListed.service());
    }

    /** Applies the target's list entry. */
    void listed(ListedTarget listed) {
        boolean isNewPeriod =
                listed.startedAt() != mListed.startedAt()
                        || listed.coldMillis() != mListed.coldMillis();
        mListed = listed;
        mIsCounting = mIsCounting && !isNewPeriod;
        mQuotaVersion = -1;
    }

    /**
     * Notes that the target itself said how long it will be cold; returns whether that is news and
     * concerns a limit.
     */
    boolean named(long coldMillis, long nowNanos) {
        boolean wasCold = mIsNamed && nowNanos - mNamedColdUntil < 0;
        mIsNamed = coldMillis > 0;
        mNamedColdUntil = nowNanos + TimeUnit.MILLISECONDS.toNanos(coldMillis);
        return mIsNamed && !wasCold && limit().isPresent();
    }

    /**
     * Returns the calls a second that all hosts together may start now; infinite if the target is
     * not known to be cold.
     */
    double perSecond(long nowNanos) {
        Optional<Service.ColdStart> limit = limit();
        return limit.isPresent() && isCold(limit.get(), nowNanos)
                ? limit.get().callsPerSecond()
                : Double.POSITIVE_INFINITY;
    }

    private boolean isCold(Service.ColdStart limit, long nowNanos) {
        mIsNamed = mIsNamed && nowNanos - mNamedColdUntil < 0;
        if (mIsNamed) {
            return true;
        }
        if (mListed.coldMillis() == ListedTarget.WARM) {
            return false;
        }
        if (!mIsCounting) {
            mIsCounting = true;
            boolean isTold = mListed.coldMillis() > 0;
            long millis = isTold ? mListed.coldMillis() : limit.durationMillis();
            mListedColdUntil = nowNanos + TimeUnit.MILLISECONDS.toNanos(millis);
        }
        return nowNanos - mListedColdUntil < 0;
    }

    /** Returns whether this host may ever call the target. */
    boolean hasQuota(long nowNanos) {
        return limit().map(limit -> quota(limit, nowNanos) > 0).orElse(true);
    }

    private int quota(Service.ColdStart limit, long nowNanos) {
        int version = mLimits.version(nowNanos);
        if (mQuotaVersion != version) {
            mQuotaVersion = version;
            mQuota = mLimits.quota(mListed.id(), limit);
        }
        return mQuota;
    }

    /** Returns how many calls this host may send now without regard to other hosts. */
    int allowedCalls(long nowNanos) {
        Optional<Service.ColdStart> limit = limit();
        if (limit.isEmpty()) {
            return Integer.MAX_VALUE;
        }
        return mLimits.closedNanos(mListed.service(), nowNanos) > 0
                ? 0
                : mWindow.allowedCalls(quota(limit.get(), nowNanos), nowNanos);
    }

    /** Returns the time until this host may send a call, if it has a quota. */
    long waitNanos(long nowNanos) {
        return limit().map(
                        limit ->
                                Math.max(
                                        mLimits.closedNanos(mListed.service(), nowNanos),
                                        mWindow.waitNanos(
                                                Math.max(1, quota(limit, nowNanos)), nowNanos)))
                .orElse(0L);
    }

    /** Returns how many calls a nanosecond this host may send at most; infinite without a limit. */
    double ownPerNano(long nowNanos) {
        return limit().map(limit -> quota(limit, nowNanos) / (double) SendWindow.LENGTH_NANOS)
                .orElse(Double.POSITIVE_INFINITY);
    }

    /** Returns the time within which a call must be sent once it is counted; 0 for any time. */
    long sendWithinNanos() {
        return limit().isPresent() ? SendWindow.SEND_WITHIN_NANOS : 0;
    }

    /** Notes that this host sends a call. */
    void sent(long nowNanos) {
        if (limit().isPresent()) {
            mWindow.sent(nowNanos);
        }
    }
}
