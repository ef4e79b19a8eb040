package org.coltsfootproxy.admission;

/**
 * Decides whether a request is admitted while all slots are in use.
 *
 * <p>Each request has a longest expected wait, which follows from its goal, its rank and what its
 * organisation has received. While one organisation floods, the expected wait settles where just
 * that organisation's requests are refused, so that no estimate of the capacity is needed.
 */
final class ContentionPolicy {
    /** Fraction of the goal that a new request may wait; the rest is for running it. */
    static final double MAX_WAIT_FRACTION = 0.7;

    /**
     * Fraction of the goal that a return may wait at its time, so that it precedes new requests.
     */
    static final double MAX_RETURN_WAIT_FRACTION = 0.8;

    /** Factor of the longest wait for each more urgent rank that is in use. */
    static final double RANK_FACTOR = 0.5;

    /** Smallest factor of the longest wait for an organisation above its fair share. */
    static final double MIN_SHARE_FACTOR = 0.1;

    /** Share ratio from which refused requests get no reservation, so that a flood has none. */
    static final double MAX_RESERVED_RATIO = 2;

    private ContentionPolicy() {}

    /**
     * What is known of a request.
     *
     * @param moreUrgentRanks number of more urgent ranks that are in use
     * @param shareRatio what its organisation has received as a multiple of its fair share
     * @param waitNanos expected time until a slot is free
     * @param reservedNanos time for which capacity is reserved for returns of others
     * @param goalNanos time in which the caller expects the first output; 0 if not stated
     * @param remainingNanos time until the deadline
     * @param runNanos usual time of a run
     * @param hasReservation whether the request returns at its reserved time
     * @param isBelowMinimum whether its organisation, rank, kind or size is below its minimum share
     */
    record Contender(
            int moreUrgentRanks,
            double shareRatio,
            double waitNanos,
            double reservedNanos,
            double goalNanos,
            double remainingNanos,
            double runNanos,
            boolean hasReservation,
            boolean isBelowMinimum) {
        /** Returns the longest expected wait of a returning request, in nanoseconds. */
        double maxReturnWaitNanos() {
            return MAX_RETURN_WAIT_FRACTION * goalNanos * rankFactor();
        }

        /** Returns the longest expected wait of a new request, in nanoseconds. */
        double maxWaitNanos() {
            return maxWaitOfRankNanos() * shareFactor();
        }

        /** Returns the longest expected wait of a new request of the rank, in nanoseconds. */
        private double maxWaitOfRankNanos() {
            return MAX_WAIT_FRACTION * goalNanos * rankFactor();
        }

        private double rankFactor() {
            return Math.pow(RANK_FACTOR, moreUrgentRanks);
        }

        private double shareFactor() {
            return shareRatio <= 1 ? 1 : Math.max(MIN_SHARE_FACTOR, 1 / shareRatio);
        }
    }

    static ContentionVerdict decide(Contender contender) {
        double wait = contender.waitNanos();
        if (wait <= 0) {
            return ContentionVerdict.IDLE;
        }
        if (wait > contender.remainingNanos() - contender.runNanos()) {
            return ContentionVerdict.PAST_DEADLINE;
        }
        double waitWithReserved = wait + contender.reservedNanos();
        if (contender.goalNanos() <= 0 || waitWithReserved <= contender.maxWaitNanos()) {
            return ContentionVerdict.SHORT_WAIT;
        }
        if (contender.hasReservation() && wait <= contender.maxReturnWaitNanos()) {
            return ContentionVerdict.RESERVED;
        }
        if (contender.isBelowMinimum()) {
            return ContentionVerdict.MINIMUM_SHARE;
        }
        if (wait > MAX_WAIT_FRACTION * contender.goalNanos()) {
            return ContentionVerdict.LATE;
        }
        if (wait > contender.maxWaitOfRankNanos()) {
            return ContentionVerdict.LESS_URGENT;
        }
        return wait > contender.maxWaitNanos()
                ? ContentionVerdict.ABOVE_SHARE
                : ContentionVerdict.RESERVED_FOR_OTHERS;
    }
}
