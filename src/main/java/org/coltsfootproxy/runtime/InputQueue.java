package org.coltsfootproxy.runtime;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.coltsfootproxy.node.Input;

/**
 * The inputs that wait for a node, bounded by their number and by the bytes of targets' answers.
 *
 * <p>Connections whose inputs are refused are not read until the queue has capacity again.
 */
final class InputQueue {
    /** Bytes that a queued part of an answer occupies in addition to its content. */
    private static final int OVERHEAD_BYTES = 64;

    private final Ring<Input> mRing;
    private final long mMaxAnswerBytes;
    private final AtomicLong mAnswerBytes = new AtomicLong();

    private InputQueue(int capacity, long maxAnswerBytes) {
        mRing = Ring.create(capacity);
        mMaxAnswerBytes = maxAnswerBytes;
    }

    /**
     * Returns an empty queue.
     *
     * @param maxAnswerBytes bytes of answers above which no further part of an answer is added
     */
    static InputQueue create(int capacity, long maxAnswerBytes) {
        return new InputQueue(capacity, maxAnswerBytes);
    }

    /** Sets the consuming thread. */
    void consumedBy(Thread consumer) {
        mRing.consumedBy(consumer);
    }

    /** Adds an input without waiting; returns false if the queue is full. */
    boolean offer(Input input) {
        long bytes = answerBytes(input);
        if (bytes == 0) {
            return mRing.offer(input);
        }
        if (mAnswerBytes.get() >= mMaxAnswerBytes) {
            return false;
        }
        mAnswerBytes.addAndGet(bytes);
        boolean isAdded = mRing.offer(input);
        if (!isAdded) {
            mAnswerBytes.addAndGet(-bytes);
        }
        return isAdded;
    }

    /** Adds an input, waiting while the ring is full; see {@link Ring#put}. */
    boolean put(Input input) {
        return mRing.put(input);
    }

    /** Passes up to {@code limit} inputs to {@code consumer} and returns their number. */
    int drain(Consumer<Input> consumer, int limit) {
        return mRing.drain(
                input -> {
                    mAnswerBytes.addAndGet(-answerBytes(input));
                    consumer.accept(input);
                },
                limit);
    }

    /** Parks the calling consumer until an input arrives or {@code nanos} have passed. */
    void awaitInput(long nanos) {
        mRing.awaitElement(nanos);
    }

    private static long answerBytes(Input input) {
        return input instanceof Input.TargetChunk chunk ? chunk.bytes().length + OVERHEAD_BYTES : 0;
    }
}
