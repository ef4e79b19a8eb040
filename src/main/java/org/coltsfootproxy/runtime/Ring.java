package org.coltsfootproxy.runtime;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.agrona.concurrent.ManyToOneConcurrentArrayQueue;

/**
 * A bounded ring buffer with many producers and one consuming thread.
 *
 * <p>{@link #offer} never blocks and refuses elements while the ring is full. The consumer parks
 * while the ring is empty.
 *
 * @param <T> type of the elements
 */
final class Ring<T> {
    /** Time between two attempts of a producer that waits while the ring is full. */
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

    /** Sets the consuming thread, which {@link #wake} unparks. */
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
     * <p>Only for producers that may block, such as the disk writer towards the node and the node
     * towards the disk writer. An interrupt ends the wait.
     *
     * @return whether the element was added; false after an interrupt
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

    /** Passes up to {@code limit} elements to {@code consumer} and returns their number. */
    int drain(Consumer<T> consumer, int limit) {
        return mQueue.drain(consumer, limit);
    }

    boolean isEmpty() {
        return mQueue.isEmpty();
    }

    /** Parks the calling consumer until an element arrives or {@code nanos} have passed. */
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
