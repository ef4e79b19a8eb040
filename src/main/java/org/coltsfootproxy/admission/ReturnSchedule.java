package org.coltsfootproxy.admission;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;

/**
 * Times at which refused requests may return, each with a place of expected capacity reserved.
 *
 * <p>The times of an entry are spaced by its part of the capacity, so that callers of all entries
 * together don't return faster than targets serve them.
 */
final class ReturnSchedule {
    /** Time after the stated one during which a place stays reserved: a slow caller's return. */
    static final long WINDOW_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** Time before the stated one from which a return counts as on time; callers round. */
    static final long EARLY_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    private static final int MAX_RESERVATIONS = 20_000;

    private final Map<Long, Long> mTimes = new LinkedHashMap<>();
    private long mLast = Long.MIN_VALUE / 2;

    /**
     * Reserves the first free time for a request.
     *
     * @param spacingNanos shortest time between two reservations
     * @return the time; empty if none is free until {@code latest}
     */
    OptionalLong reserve(
            long request, long earliest, long latest, long spacingNanos, long nowNanos) {
        expire(nowNanos);
        long at = Math.max(earliest, mLast + spacingNanos);
        if (at > latest || mTimes.size() >= MAX_RESERVATIONS) {
            return OptionalLong.empty();
        }
        mLast = at;
        mTimes.remove(request);
        mTimes.put(request, at);
        return OptionalLong.of(at);
    }

    /** Ends the reservation of a request, and returns whether the request has come within it. */
    boolean claim(long request, long nowNanos) {
        Long at = mTimes.remove(request);
        return at != null && nowNanos >= at - EARLY_NANOS && nowNanos <= at + WINDOW_NANOS;
    }

    /** Returns the number of places that are reserved from now until a time. */
    int reservedUntil(long until, long nowNanos) {
        expire(nowNanos);
        int count = 0;
        for (long at : mTimes.values()) {
            if (at > until) {
                break;
            }
            count++;
        }
        return count;
    }

    private void expire(long nowNanos) {
        Iterator<Long> times = mTimes.values().iterator();
        while (times.hasNext() && nowNanos - times.next() > WINDOW_NANOS) {
            times.remove();
        }
    }
}
