package org.coltsfootproxy.admission;

import java.util.List;
import java.util.Optional;

/**
 * Decides which work for one target waits, starts, is stopped or is shed.
 *
 * <p>Single-threaded and deterministic. Times are nanoseconds of the agent's monotonic clock and
 * never decrease. For each arrival, call {@link #offer}, then {@link #itemsToStop}, then {@link
 * #poll} until it returns empty. After {@link #finished}, poll again. Call {@link #expire} at
 * {@link #nextExpiryNanos}. Work that is returned as {@link Shed} has not run.
 */
public interface AdmissionQueue {
    /** Returns a queue that is fair between organisations and prefers online to batch. */
    static AdmissionQueue fair(AdmissionSettings settings) {
        return FairAdmissionQueue.create(settings, AdaptiveLimit.create(settings));
    }

    /**
     * Returns a first-come, first-served queue with a fixed concurrency limit, the baseline for
     * measurements.
     */
    static AdmissionQueue fifo(AdmissionSettings settings) {
        return FirstComeQueue.create(settings);
    }

    /**
     * Adds work and returns the work that is shed to stay within the bounds, which may include it.
     *
     * @throws IllegalArgumentException if the call is already waiting or running
     */
    List<Shed> offer(Work work, long nowNanos);

    /** Removes and returns the next work to start at the target; it then counts as running. */
    Optional<Work> poll(long nowNanos);

    /** Returns the calls of running batch items to stop in favour of online work, each once. */
    List<Long> itemsToStop(long nowNanos);

    /** Returns how many batch items may be pulled and started now. */
    int batchSlots(long nowNanos);

    /** Records that a chunk of the answer to a running call arrived. */
    void recordChunk(long call, long nowNanos);

    /** Records that a running call completed, failed, was stopped or was cancelled. */
    void finished(long call, long nowNanos);

    /** Removes a cancelled call from the waiting ones; returns false if it is not waiting. */
    boolean cancel(long call);

    /** Removes and returns the waiting work whose deadline has passed. */
    List<Shed> expire(long nowNanos);

    /** Removes and returns all waiting work because this agent is stopping. */
    List<Shed> drain();

    /** Applies new bounds; running work continues. */
    void configure(AdmissionSettings settings, long nowNanos);

    /** Returns the earliest deadline of waiting work, or {@link Long#MAX_VALUE} if none waits. */
    long nextExpiryNanos();

    /** Returns the number of waiting requests. */
    int waiting();

    /** Returns the number of requests in flight at the target. */
    int inFlight();

    /** Returns the current concurrency limit. */
    int limit();
}
