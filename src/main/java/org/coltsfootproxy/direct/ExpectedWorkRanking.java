package org.coltsfootproxy.direct;

import org.coltsfootproxy.work.WorkEstimate;

/**
 * Ranks targets by the milliseconds until a request would begin there, and a part of those that it
 * would then take.
 */
final class ExpectedWorkRanking implements TargetRanking {
    /** Time to another data centre and back, in milliseconds. */
    private static final double REMOTE_MILLIS = 6;

    /** Time in milliseconds until a preempted batch item has left its slot. */
    private static final double PREEMPTION_MILLIS = 10;

    /**
     * Fraction by which a call takes longer if all slots are in use: an engine's step takes 2.3 ms
     * and 0.09 ms more for each call in it.
     */
    private static final double FULL_SLOWDOWN = 0.3;

    /**
     * Expected rest, in milliseconds, of a phase in which a target is slower or faster than in the
     * long run; the work after it takes the usual time.
     */
    private static final double PHASE_REST_MILLIS = 300;

    /**
     * Weight of the request's own time. In the simulation of {@code ExpectedWorkTest} with 120 and
     * 135 streams a second, the slowest hundredth waits 246 and 626 ms for the first event with 1,
     * 220 and 588 ms with 0.5, 214 and 634 ms with 0.25.
     */
    private static final double OWN_WEIGHT = 0.5;

    /**
     * Probabilities of 0, 1, 2 and more calls at a target of which this host does not know yet: a
     * Poisson distribution with a mean of 0.5. Hosts hear of each other's calls 20 to 40 ms late,
     * in which one of the least loaded targets gets about as many. In the simulation of {@code
     * ExpectedWorkTest} the slowest hundredth waits 220 or 232 ms without it, 198 to 218 with 0.5
     * and 252 with 1, depending on details of the reports.
     */
    private static final double[] UNSEEN_SHARES = {0.607, 0.303, 0.076, 0.013};

    @Override
    public double cost(Target target, WorkEstimate estimate, long nowNanos) {
        TargetWork work = target.work();
        double longRun = work.speed().longRun(nowNanos);
        double current = work.speed().current(nowNanos);
        double usual = estimate.meanMillis();
        double own = longRun * usual + (current - longRun) * Math.min(usual, PHASE_REST_MILLIS);
        double inUse = Math.min(1, target.inFlight(nowNanos) / (double) target.slots());
        return startMillis(target, nowNanos)
                + unseenMillis(target, nowNanos)
                + OWN_WEIGHT
                        * own
                        * (1 + FULL_SLOWDOWN * inUse + target.rateLimit().usedFraction(nowNanos));
    }

    @Override
    public double remoteCost() {
        return REMOTE_MILLIS;
    }

    /**
     * Returns the expected delay by calls that other hosts have sent and this one does not know of.
     */
    private static double unseenMillis(Target target, long nowNanos) {
        int ahead = target.inFlight(nowNanos) - target.preemptible();
        int free = Math.max(1, target.slots() - ahead);
        double queued = 0;
        for (int unseen = free; unseen < UNSEEN_SHARES.length; unseen++) {
            queued += UNSEEN_SHARES[unseen] * (unseen - free + 1);
        }
        return queued == 0 ? 0 : queued * slotMillis(target, nowNanos);
    }

    /** Returns the expected time until one of the calls in the slots of a target ends. */
    private static double slotMillis(Target target, long nowNanos) {
        TargetWork work = target.work();
        double mean = work.meanRemainingMillis(nowNanos);
        return work.speed().current(nowNanos) * mean / target.slots();
    }

    /** Returns the expected time until a further request would begin at a target. */
    static double startMillis(Target target, long nowNanos) {
        int slots = target.slots();
        int inFlight = target.inFlight(nowNanos);
        if (inFlight < slots) {
            return 0;
        }
        int ahead = inFlight - target.preemptible();
        if (ahead < slots) {
            return PREEMPTION_MILLIS;
        }
        return (ahead - slots + 1) * slotMillis(target, nowNanos);
    }
}
