package org.coltsfootproxy.admission;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Counts how often the requests of each group are admitted, so that none is admitted far less often
 * than all are. A group is an organisation, a rank, a kind or a size of requests.
 */
final class MinimumShares {
    /** Time after which a decision counts half. */
    private static final long HALF_LIFE_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Maximum number of groups; those with the oldest requests are forgotten. */
    private static final int MAX_GROUPS = 4_096;

    private final Map<Object, Counts> mGroups =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Object, Counts> eldest) {
                    return size() > MAX_GROUPS;
                }
            };
    private final Counts mAll = new Counts(0);

    /** Decisions on the requests of a group. */
    private static final class Counts {
        private final DecayedCount mAsked;
        private final DecayedCount mAdmitted;

        Counts(long nowNanos) {
            mAsked = new DecayedCount(HALF_LIFE_NANOS, nowNanos);
            mAdmitted = new DecayedCount(HALF_LIFE_NANOS, nowNanos);
        }

        void add(boolean isAdmitted, long nowNanos) {
            mAsked.add(1, nowNanos);
            mAdmitted.add(isAdmitted ? 1 : 0, nowNanos);
        }
    }

    /** Counts a decision on a request of a group. */
    void decided(Object group, boolean isAdmitted, long nowNanos) {
        mGroups.computeIfAbsent(group, g -> new Counts(nowNanos)).add(isAdmitted, nowNanos);
    }

    /** Counts a decision on any request. */
    void decided(boolean isAdmitted, long nowNanos) {
        mAll.add(isAdmitted, nowNanos);
    }

    /**
     * Returns whether a group would be admitted less often than a fraction of how often all are, if
     * its next request were refused.
     */
    boolean isBelow(Object group, double fraction, long nowNanos) {
        Counts counts = mGroups.get(group);
        double asked = counts == null ? 0 : counts.mAsked.value(nowNanos);
        double admitted = counts == null ? 0 : counts.mAdmitted.value(nowNanos);
        double askedOfAll = mAll.mAsked.value(nowNanos);
        double admittedOfAll = askedOfAll > 0 ? mAll.mAdmitted.value(nowNanos) / askedOfAll : 1;
        return admitted < fraction * admittedOfAll * (asked + 1);
    }
}
