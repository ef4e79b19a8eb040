package org.coltsfootproxy.base;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;

/**
 * Timers of a decision class: at most one for each key.
 *
 * <p>Times are nanoseconds of a monotonic clock. Each operation costs the logarithm of the number
 * of timers; timers of the same time fire in the order in which they were set.
 *
 * @param <K> the keys, with value equality
 */
public final class Timers<K> {
    /** The answer of {@link #next} when no timer is set. */
    public static final long NEVER = Long.MAX_VALUE;

    private record Timer<K>(long time, long sequence, K key) {}

    private final TreeSet<Timer<K>> mByTime =
            new TreeSet<>(
                    Comparator.comparingLong((Timer<K> t) -> t.time())
                            .thenComparingLong(Timer::sequence));
    private final Map<K, Timer<K>> mByKey = new HashMap<>();
    private long mSequence;

    private Timers() {}

    /** Returns timers of which none is set. */
    public static <K> Timers<K> create() {
        return new Timers<>();
    }

    /** Sets the timer of a key, in place of an earlier one. */
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

    /** Removes and returns the earliest key whose time has come. */
    public Optional<K> pollDue(long now) {
        if (mByTime.isEmpty() || mByTime.first().time() > now) {
            return Optional.empty();
        }
        K key = mByTime.first().key();
        clear(key);
        return Optional.of(key);
    }

    /** Returns the earliest time, or {@link #NEVER}. */
    public long next() {
        return mByTime.isEmpty() ? NEVER : mByTime.first().time();
    }
}
