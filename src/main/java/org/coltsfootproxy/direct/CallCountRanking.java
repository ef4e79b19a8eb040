package org.coltsfootproxy.direct;

import org.coltsfootproxy.work.WorkEstimate;

/**
 * Ranks targets by their number of calls, in fractions of their slots: a target with a free slot
 * first, then one where a batch item can be preempted, then the one with the shortest queue.
 */
final class CallCountRanking implements TargetRanking {
    /** Load added for a target in another data centre; equal to an eighth of its slots in use. */
    static final double REMOTE_LOAD = 0.125;

    /** Load added if a batch item must be preempted; ranks after any target with a free slot. */
    private static final double PREEMPTION_LOAD = 2;

    /** Load added if the request must queue; ranks after any target with a preemptible item. */
    private static final double QUEUEING_LOAD = 4;

    @Override
    public double cost(Target target, WorkEstimate estimate, long nowNanos) {
        return load(target, nowNanos);
    }

    @Override
    public double remoteCost() {
        return REMOTE_LOAD;
    }

    static double load(Target target, long nowNanos) {
        double slots = target.slots();
        int inFlight = target.inFlight(nowNanos);
        if (inFlight < slots) {
            // What is left of a limit is kept for times when other targets have no free slot.
            return inFlight / slots + target.rateLimit().usedFraction(nowNanos);
        }
        int nonPreemptible = inFlight - target.preemptible();
        return nonPreemptible < slots
                ? PREEMPTION_LOAD + nonPreemptible / slots
                : QUEUEING_LOAD + (nonPreemptible - slots) / slots;
    }
}
