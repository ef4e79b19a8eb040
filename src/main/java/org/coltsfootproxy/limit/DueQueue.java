package org.coltsfootproxy.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

/**
 * A timer queue that keeps the earliest due time of each key.
 *
 * <p>Operations take logarithmic time in the number of keys.
 */
final class DueQueue<K> {
    private record Due<K>(long nanos, K key) implements Comparable<Due<K>> {
        @Override
        public int compareTo(Due<K> other) {
            return Long.compare(nanos, other.nanos);
        }
    }

    private final Map<K, Long> mTimes = new HashMap<>();
    private final PriorityQueue<Due<K>> mQueue = new PriorityQueue<>();

    /** Makes a key due at {@code nanos} unless it is already due earlier. */
    void scheduleAtLatest(K key, long nanos) {
        Long known = mTimes.get(key);
        if (known == null || nanos < known) {
            mTimes.put(key, nanos);
            mQueue.add(new Due<>(nanos, key));
        }
    }

    /** Removes and returns a key that is due, if any. */
    Optional<K> poll(long now) {
        if (nextNanos() > now) {
            return Optional.empty();
        }
        K key = mQueue.remove().key();
        mTimes.remove(key);
        return Optional.of(key);
    }

    /** Returns the earliest due time, or {@link Long#MAX_VALUE} if the queue is empty. */
    long nextNanos() {
        while (!mQueue.isEmpty() && !isCurrent(mQueue.element())) {
            mQueue.remove();
        }
        return mQueue.isEmpty() ? Long.MAX_VALUE : mQueue.element().nanos();
    }

    private boolean isCurrent(Due<K> due) {
        Long known = mTimes.get(due.key());
        return known != null && known == due.nanos();
    }
}
