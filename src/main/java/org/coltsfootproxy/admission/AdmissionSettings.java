package org.coltsfootproxy.admission;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Bounds of the admission at one target.
 *
 * @param maxInFlight most requests at the target at a time, at least 1
 * @param maxWaiting most requests that wait for each class, at least 1
 * @param maxWaitingBytes most memory of the requests that wait for each class
 * @param headroomShare share of the concurrency limit that batch leaves free for bursts, from 0 to
 *     below 1
 * @param gapTargetNanos time between tokens that 95 of 100 should keep
 * @param firstTokenTargetNanos time from the hand-over to the first token that 95 of 100 should
 *     keep
 * @param pullPauseNanos how long no batch slots are offered after an item was stopped for online
 */
public record AdmissionSettings(
        int maxInFlight,
        int maxWaiting,
        long maxWaitingBytes,
        double headroomShare,
        long gapTargetNanos,
        long firstTokenTargetNanos,
        long pullPauseNanos) {
    private static final long MILLI_NANOS = 1_000_000;
    private static final int DEFAULT_WAITING = 1_000;
    private static final long DEFAULT_BYTES = 32L << 20;
    private static final double DEFAULT_HEADROOM = 0.125;
    private static final long DEFAULT_GAP_NANOS = 41 * MILLI_NANOS;
    private static final long DEFAULT_FIRST_TOKEN_NANOS = 500 * MILLI_NANOS;
    private static final long DEFAULT_PAUSE_NANOS = 200 * MILLI_NANOS;

    /** Checks the bounds. */
    public AdmissionSettings {
        checkArgument(maxInFlight >= 1, "max in flight %s", maxInFlight);
        checkArgument(maxWaiting >= 1, "max waiting %s", maxWaiting);
        checkArgument(maxWaitingBytes >= 0, "max waiting bytes %s", maxWaitingBytes);
        checkArgument(headroomShare >= 0 && headroomShare < 1, "headroom %s", headroomShare);
        checkArgument(gapTargetNanos > 0, "gap target %s", gapTargetNanos);
        checkArgument(firstTokenTargetNanos > 0, "first token %s", firstTokenTargetNanos);
        checkArgument(pullPauseNanos >= 0, "pull pause %s", pullPauseNanos);
    }

    /** Returns the default bounds for a target that takes {@code maxInFlight} at a time. */
    public static AdmissionSettings of(int maxInFlight) {
        return new AdmissionSettings(
                maxInFlight,
                DEFAULT_WAITING,
                DEFAULT_BYTES,
                DEFAULT_HEADROOM,
                DEFAULT_GAP_NANOS,
                DEFAULT_FIRST_TOKEN_NANOS,
                DEFAULT_PAUSE_NANOS);
    }

    /** Returns these bounds with another most of requests at the target. */
    public AdmissionSettings withMaxInFlight(int max) {
        return new AdmissionSettings(
                max,
                maxWaiting,
                maxWaitingBytes,
                headroomShare,
                gapTargetNanos,
                firstTokenTargetNanos,
                pullPauseNanos);
    }
}
