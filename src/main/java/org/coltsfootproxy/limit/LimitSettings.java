package org.coltsfootproxy.limit;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Times and bounds of the limiter.
 *
 * @param grantLifeNanos longest time that granted tokens may be used
 * @param aheadNanos time for whose expected demand an entry asks ahead; 0 to ask for each request
 * @param idleNanos time without use after which an entry gives tokens back
 * @param askTimeoutNanos time after which an ask is repeated, doubled up to four times that
 * @param maxWaitNanos longest time that a request waits for the owner's answer
 * @param recallWaitNanos longest time that the owner waits for tokens called back
 * @param spacingNanos least time between two recalls, and between two asks after a refusal
 * @param maxWaiting most requests of one organisation that wait at one entry
 */
public record LimitSettings(
        long grantLifeNanos,
        long aheadNanos,
        long idleNanos,
        long askTimeoutNanos,
        long maxWaitNanos,
        long recallWaitNanos,
        long spacingNanos,
        int maxWaiting) {
    private static final long MILLI_NANOS = 1_000_000;

    /** Checks the settings. */
    public LimitSettings {
        checkArgument(grantLifeNanos > 0, "grant life %s", grantLifeNanos);
        checkArgument(aheadNanos >= 0, "ahead %s", aheadNanos);
        checkArgument(idleNanos > 0 && idleNanos < grantLifeNanos, "idle %s", idleNanos);
        checkArgument(askTimeoutNanos > 0, "ask timeout %s", askTimeoutNanos);
        checkArgument(maxWaitNanos > 0, "max wait %s", maxWaitNanos);
        checkArgument(recallWaitNanos > 0, "recall wait %s", recallWaitNanos);
        checkArgument(spacingNanos > 0, "spacing %s", spacingNanos);
        checkArgument(maxWaiting > 0, "max waiting %s", maxWaiting);
    }

    /** Returns the default settings: leased amounts that follow demand. */
    public static LimitSettings defaults() {
        return new LimitSettings(
                2_000 * MILLI_NANOS,
                200 * MILLI_NANOS,
                250 * MILLI_NANOS,
                20 * MILLI_NANOS,
                3_000 * MILLI_NANOS,
                10 * MILLI_NANOS,
                20 * MILLI_NANOS,
                1_024);
    }

    /** Returns these settings without asking ahead: the owner is asked for each request. */
    public LimitSettings withoutAhead() {
        return withAhead(0);
    }

    /** Returns these settings with another time to ask ahead for. */
    public LimitSettings withAhead(long nanos) {
        return new LimitSettings(
                grantLifeNanos,
                nanos,
                idleNanos,
                askTimeoutNanos,
                maxWaitNanos,
                recallWaitNanos,
                spacingNanos,
                maxWaiting);
    }
}
