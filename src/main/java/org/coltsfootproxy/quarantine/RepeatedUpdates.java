package org.coltsfootproxy.quarantine;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.node.Node;

/**
 * Updates for other hosts that are sent several times, because a report may be lost.
 *
 * @param <T> type of the updates, compared by {@link Object#equals}
 */
final class RepeatedUpdates<T> {
    private static final int SENDS = 3;

    /** Interval between two sends; it spans the replacement of a lost relay. */
    private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    private static final int MAX_UPDATES = 1_000;

    private final Map<T, Schedule> mUpdates = new LinkedHashMap<>();

    private static final class Schedule {
        private int mSendsLeft = SENDS;
        private long mNextAt;

        Schedule(long nextAt) {
            mNextAt = nextAt;
        }
    }

    /** Adds an update, due at once; one that is still being sent begins anew. */
    void add(T update, long nowNanos) {
        mUpdates.remove(update);
        mUpdates.put(update, new Schedule(nowNanos));
        if (mUpdates.size() > MAX_UPDATES) {
            Iterator<T> oldest = mUpdates.keySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /** Returns the updates to send now. */
    List<T> take(long nowNanos) {
        List<T> due =
                mUpdates.entrySet().stream()
                        .filter(update -> nowNanos - update.getValue().mNextAt >= 0)
                        .map(Map.Entry::getKey)
                        .toList();
        for (T update : due) {
            Schedule schedule = mUpdates.get(update);
            schedule.mNextAt = nowNanos + INTERVAL_NANOS;
            if (--schedule.mSendsLeft == 0) {
                mUpdates.remove(update);
            }
        }
        return due;
    }

    /** Returns when an update is due, or {@link Node#NEVER}. */
    long nextNanos() {
        long next = Node.NEVER;
        for (var update : mUpdates.values()) {
            next = Math.min(next, update.mNextAt);
        }
        return next;
    }
}
