package org.coltsfootproxy.runtime;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.agrona.concurrent.ManyToOneConcurrentArrayQueue;

/**
 * A bounded ring from many producers to the one thread of a duty.
 *
 * <p>A full ring refuses; it never blocks a producer that uses {@link #offer}. The consumer parks
 * when the ring is empty.
 *
 * @param <T> what the ring carries
 */
final class Ring<T> {
    /** Time between the tries of a producer that has to wait, in nanoseconds. */
    private static final long RETRY_NANOS = 50_000;

    private final ManyToOneConcurrentArrayQueue<T> mQueue;
    private volatile Thread mConsumer;
    private volatile boolean mParked;

    private Ring(int capacity) {
        checkArgument(capacity > 0, "ring capacity %s must be above 0", capacity);
        mQueue = new ManyToOneConcurrentArrayQueue<>(capacity);
    }

    /** Returns a ring that holds {@code capacity} elements, rounded up to a power of two. */
    static <T> Ring<T> create(int capacity) {
        return new Ring<>(capacity);
    }

    /** Names the consuming thread. */
    void consumedBy(Thread consumer) {
        mConsumer = consumer;
    }

    /** Adds an element and wakes the consumer; returns false if the ring is full. */
    boolean offer(T element) {
        if (!mQueue.offer(element)) {
            return false;
        }
        wake();
        return true;
    }

    /**
     * Adds an element, waiting while the ring is full.
     *
     * <p>For producers that may wait: the disk duty and the decisions towards the disk. The wait
     * ends without the element being added when the thread is interrupted.
     *
     * @return whether the element was added
     */
    boolean put(T element) {
        while (!offer(element)) {
            if (Thread.currentThread().isInterrupted()) {
                return false;
            }
            LockSupport.parkNanos(RETRY_NANOS);
        }
        return true;
    }

    /** Hands up to {@code limit} elements to {@code consumer} and returns how many there were. */
    int drain(Consumer<T> consumer, int limit) {
        return mQueue.drain(consumer, limit);
    }

    boolean isEmpty() {
        return mQueue.isEmpty();
    }

    /** Parks the consuming thread until an element arrives or {@code nanos} have passed. */
    void awaitElement(long nanos) {
        mParked = true;
        if (mQueue.isEmpty()) {
            LockSupport.parkNanos(this, nanos);
        }
        mParked = false;
    }

    /** Wakes the consumer if it is parked. */
    void wake() {
        if (mParked) {
            LockSupport.unpark(mConsumer);
        }
    }
}
