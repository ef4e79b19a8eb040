package org.coltsfootproxy.base;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * A set of timers with at most one timer per key. The owner polls for due timers; nothing fires on
 * its own.
 *
 * <p>Times are nanoseconds of a monotonic clock. Each operation takes O(log n) time. Timers that
 * are due at the same time are returned in the order in which they were set. Not thread-safe.
 *
 * @param <K> the keys, with value equality
 */
public final class Timers<K> {
    /** Returned by {@link #next} if no timer is set. */
    public static final long NEVER = Long.MAX_VALUE;

    private record Timer<K>(long time, long sequence, K key) {}

    private final TreeSet<Timer<K>> mByTime =
            new TreeSet<>(
                    Comparator.comparingLong((Timer<K> t) -> t.time())
                            .thenComparingLong(Timer::sequence));
    private final Map<K, Timer<K>> mByKey = new HashMap<>();
    private long mSequence;

    private Timers() {}

    /** Returns an empty set of timers. */
    public static <K> Timers<K> create() {
        return new Timers<>();
    }

    /** Sets the timer of a key to the given time in nanoseconds, replacing an earlier one. */
    public void set(K key, long time) {
        clear(key);
        Timer<K> timer = new Timer<>(time, mSequence++, key);
        mByKey.put(key, timer);
        mByTime.add(timer);
    }

    /** Clears the timer of a key if it is set. */
    public void clear(K key) {
        Timer<K> old = mByKey.remove(key);
        if (old != null) {
            mByTime.remove(old);
        }
    }

    /** Removes the earliest timer that is due and returns its key, or empty if none is due. */
    public Optional<K> pollDue(long now) {
        if (mByTime.isEmpty() || mByTime.first().time() > now) {
            return Optional.empty();
        }
        K key = mByTime.first().key();
        clear(key);
        return Optional.of(key);
    }

    /** Returns the time of the earliest timer, or {@link #NEVER} if none is set. */
    public long next() {
        return mByTime.isEmpty() ? NEVER : mByTime.first().time();
    }
}
