package org.coltsfootproxy.direct;

import org.coltsfootproxy.work.WorkEstimate;

/** Ranks targets for an online request; the one with the least cost gets it. */
interface TargetRanking {
    /** Returns the cost of sending a request to a target now, in a unit of the ranking's own. */
    double cost(Target target, WorkEstimate estimate, long nowNanos);

    /** Returns the cost that is added for a target in another data centre. */
    double remoteCost();
}
