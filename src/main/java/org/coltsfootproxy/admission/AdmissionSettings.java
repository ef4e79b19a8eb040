package org.coltsfootproxy.admission;

import static com.google.common.base.Preconditions.checkArgument;

/**
 * Bounds of the admission at one target.
 *
 * @param maxInFlight maximum number of requests in flight at the target, at least 1
 * @param maxWaiting maximum number of waiting requests per traffic class, at least 1
 * @param maxWaitingBytes maximum memory of the waiting requests per traffic class
 * @param headroomShare share of the concurrency limit that batch leaves free for online bursts,
 *     from 0 to below 1
 * @param gapTargetNanos target for the 95th percentile of the time between tokens
 * @param firstTokenTargetNanos target for the 95th percentile of the time from the start at the
 *     target to the first token
 * @param batchPauseNanos how long no batch slots are offered after a batch item was stopped in
 *     favour of online work
 */
public record AdmissionSettings(
        int maxInFlight,
        int maxWaiting,
        long maxWaitingBytes,
        double headroomShare,
        long gapTargetNanos,
        long firstTokenTargetNanos,
        long batchPauseNanos) {
    private static final long MILLI_NANOS = 1_000_000;
    private static final int DEFAULT_MAX_WAITING = 1_000;
    private static final long DEFAULT_MAX_WAITING_BYTES = 32L << 20;
    private static final double DEFAULT_HEADROOM_SHARE = 0.125;
    private static final long DEFAULT_GAP_TARGET_NANOS = 41 * MILLI_NANOS;
    private static final long DEFAULT_FIRST_TOKEN_TARGET_NANOS = 500 * MILLI_NANOS;
    private static final long DEFAULT_BATCH_PAUSE_NANOS = 200 * MILLI_NANOS;

    /** Validates the bounds. */
    public AdmissionSettings {
        checkArgument(maxInFlight >= 1, "maxInFlight %s must be at least 1", maxInFlight);
        checkArgument(maxWaiting >= 1, "maxWaiting %s must be at least 1", maxWaiting);
        checkArgument(
                maxWaitingBytes >= 0, "maxWaitingBytes %s must not be negative", maxWaitingBytes);
        checkArgument(
                headroomShare >= 0 && headroomShare < 1,
                "headroomShare %s must be from 0 to below 1",
                headroomShare);
        checkArgument(gapTargetNanos > 0, "gapTargetNanos %s must be positive", gapTargetNanos);
        checkArgument(
                firstTokenTargetNanos > 0,
                "firstTokenTargetNanos %s must be positive",
                firstTokenTargetNanos);
        checkArgument(
                batchPauseNanos >= 0, "batchPauseNanos %s must not be negative", batchPauseNanos);
    }

    /** Returns the default bounds with the given maximum of requests in flight. */
    public static AdmissionSettings of(int maxInFlight) {
        return new AdmissionSettings(
                maxInFlight,
                DEFAULT_MAX_WAITING,
                DEFAULT_MAX_WAITING_BYTES,
                DEFAULT_HEADROOM_SHARE,
                DEFAULT_GAP_TARGET_NANOS,
                DEFAULT_FIRST_TOKEN_TARGET_NANOS,
                DEFAULT_BATCH_PAUSE_NANOS);
    }

    /** Returns these bounds with another maximum of requests in flight. */
    public AdmissionSettings withMaxInFlight(int max) {
        return new AdmissionSettings(
                max,
                maxWaiting,
                maxWaitingBytes,
                headroomShare,
                gapTargetNanos,
                firstTokenTargetNanos,
                batchPauseNanos);
    }
}
