package org.coltsfootproxy.direct;

import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.TargetId;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.message.ListedTarget;

/**
 * The targets that have said in an answer that they are leaving.
 *
 * <p>A target's own word outlasts the target list, which lags and may show the target as ready or
 * leave it out for a while. It holds for one incarnation: a target that the list shows with the
 * same id but another start time is a new one.
 */
final class LeavingTargets {
    /** How long other hosts are told of an answer, so that one lost report does no harm. */
    private static final long REPORT_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /** Number of targets to remember; far more than leave within the lag of a list. */
    private static final int MAX_TARGETS = 10_000;

    private final LinkedHashMap<TargetId, Long> mStartedAt = new LinkedHashMap<>();
    private final Map<FleetMessage.LeavingTarget, Long> mHeardAt = new HashMap<>();

    private LeavingTargets() {}

    static LeavingTargets create() {
        return new LeavingTargets();
    }

    /** Notes that a target told this host that it is leaving; returns whether this is new. */
    boolean heard(ListedTarget target, long nowNanos) {
        var leaving = new FleetMessage.LeavingTarget(target.id(), target.startedAt());
        boolean isNew = add(leaving);
        if (isNew) {
            mHeardAt.put(leaving, nowNanos);
        }
        return isNew;
    }

    /** Notes that a target is leaving; returns whether this is new. */
    boolean add(FleetMessage.LeavingTarget leaving) {
        Long before = mStartedAt.put(leaving.target(), leaving.startedAt());
        if (mStartedAt.size() > MAX_TARGETS) {
            Iterator<TargetId> oldest = mStartedAt.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
        return before == null || before != leaving.startedAt();
    }

    /** Forgets the targets that the list shows with another start time. */
    void listed(Collection<ListedTarget> targets) {
        targets.stream()
                .filter(target -> mStartedAt.containsKey(target.id()))
                .filter(target -> !contains(target))
                .forEach(target -> mStartedAt.remove(target.id()));
    }

    /** Returns whether this incarnation of a target is leaving. */
    boolean contains(ListedTarget target) {
        Long startedAt = mStartedAt.get(target.id());
        return startedAt != null && startedAt == target.startedAt();
    }

    /** Returns what this host heard from targets recently. */
    List<FleetMessage.LeavingTarget> recentlyHeard(long nowNanos) {
        mHeardAt.values().removeIf(heardAt -> nowNanos - heardAt >= REPORT_PERIOD_NANOS);
        return List.copyOf(mHeardAt.keySet());
    }
}
