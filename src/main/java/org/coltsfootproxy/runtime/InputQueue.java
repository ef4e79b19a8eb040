package org.coltsfootproxy.runtime;

import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.coltsfootproxy.node.Input;

/**
 * The inputs that wait for a node, bounded by their number and by the bytes of callers' requests
 * and of targets' answers.
 *
 * <p>Connections whose inputs are refused are not read until the queue has capacity again; calls
 * that are refused are answered so.
 */
final class InputQueue {
    /** Bytes that a queued part of an answer occupies in addition to its content. */
    private static final int OVERHEAD_BYTES = 64;

    private final Ring<Input> mRing;
    private final ByteBound mAnswers;
    private final ByteBound mCalls;

    /** A number of queued bytes above which no further input of its kind is added. */
    private static final class ByteBound {
        private final long mMax;
        private final AtomicLong mBytes = new AtomicLong();

        ByteBound(long max) {
            mMax = max;
        }

        boolean isReached() {
            return mBytes.get() >= mMax;
        }

        void add(long bytes) {
            mBytes.addAndGet(bytes);
        }
    }

    private InputQueue(int capacity, long maxAnswerBytes, long maxCallBytes) {
        mRing = Ring.create(capacity);
        mAnswers = new ByteBound(maxAnswerBytes);
        mCalls = new ByteBound(maxCallBytes);
    }

    /**
     * Returns an empty queue.
     *
     * @param maxAnswerBytes bytes of answers above which no further part of an answer is added
     * @param maxCallBytes bytes of callers' bodies above which no further call is added
     */
    static InputQueue create(int capacity, long maxAnswerBytes, long maxCallBytes) {
        return new InputQueue(capacity, maxAnswerBytes, maxCallBytes);
    }

    /** Sets the consuming thread. */
    void consumedBy(Thread consumer) {
        mRing.consumedBy(consumer);
    }

    /** Adds an input without waiting; returns false if the queue is full. */
    boolean offer(Input input) {
        long bytes = bytes(input);
        if (bytes == 0) {
            return mRing.offer(input);
        }
        ByteBound bound = boundOf(input);
        if (bound.isReached()) {
            return false;
        }
        bound.add(bytes);
        boolean isAdded = mRing.offer(input);
        if (!isAdded) {
            bound.add(-bytes);
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
                    boundOf(input).add(-bytes(input));
                    consumer.accept(input);
                },
                limit);
    }

    /** Parks the calling consumer until an input arrives or {@code nanos} have passed. */
    void awaitInput(long nanos) {
        mRing.awaitElement(nanos);
    }

    private ByteBound boundOf(Input input) {
        return input instanceof Input.HttpCall ? mCalls : mAnswers;
    }

    private static long bytes(Input input) {
        if (input instanceof Input.HttpCall call) {
            return call.body().length;
        }
        return input instanceof Input.TargetChunk chunk ? chunk.bytes().length + OVERHEAD_BYTES : 0;
    }
}
