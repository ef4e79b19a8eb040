package org.coltsfootproxy.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;

/** Keeps the earliest due time of each key; each operation costs the logarithm of the keys. */
final class DueQueue<K> {
    private record Due<K>(long nanos, K key) implements Comparable<Due<K>> {
        @Override
        public int compareTo(Due<K> other) {
            return Long.compare(nanos, other.nanos);
        }
    }

    private final Map<K, Long> mTimes = new HashMap<>();
    private final PriorityQueue<Due<K>> mQueue = new PriorityQueue<>();

    /** Makes a key due at a time unless it is due earlier. */
    void atLatest(K key, long nanos) {
        Long known = mTimes.get(key);
        if (known == null || nanos < known) {
            mTimes.put(key, nanos);
            mQueue.add(new Due<>(nanos, key));
        }
    }

    /** Takes a key that is due. */
    Optional<K> poll(long now) {
        if (nextNanos() > now) {
            return Optional.empty();
        }
        K key = mQueue.remove().key();
        mTimes.remove(key);
        return Optional.of(key);
    }

    /** Returns the earliest due time, or {@link Long#MAX_VALUE}. */
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
