package org.coltsfootproxy.admission;

import java.util.List;
import java.util.Optional;

/**
 * Decides what waits for the target, what starts, what is stopped and what is shed.
 *
 * <p>Single-threaded and deterministic. Times are nanoseconds of the agent's monotonic clock and
 * never go back. Use: {@link #offer} each arrival, then {@link #itemsToStop}, then {@link #poll}
 * until empty; after {@link #finished} poll again; call {@link #expire} at {@link
 * #nextExpiryNanos}. Whatever leaves by a {@link Shed} has not run.
 */
public interface AdmissionQueue {
    /** Returns the queue that is fair between organisations and puts online first. */
    static AdmissionQueue fair(AdmissionSettings settings) {
        return FairAdmissionQueue.create(settings, AdaptiveLimit.create(settings));
    }

    /** Returns the baseline: first come, first served, with a fixed concurrency limit. */
    static AdmissionQueue firstCome(AdmissionSettings settings) {
        return FirstComeQueue.create(settings);
    }

    /**
     * Adds work; returns what is shed to keep the bounds, which may be the work itself.
     *
     * @throws IllegalArgumentException if the call's number is waiting or running already
     */
    List<Shed> offer(Work work, long nowNanos);

    /** Takes the next work to hand to the target now; from then on it counts as running. */
    Optional<Work> poll(long nowNanos);

    /** Returns the calls of running batch items to stop for online, each once. */
    List<Long> itemsToStop(long nowNanos);

    /** Returns how many batch items may be pulled and started now. */
    int batchSlots(long nowNanos);

    /** Notes that a piece of the answer to a running call arrived. */
    void piece(long call, long nowNanos);

    /** Notes that a running call left the target: whole, failed, stopped or cancelled. */
    void finished(long call, long nowNanos);

    /** Removes a waiting call that nobody wants any more; false if it does not wait. */
    boolean cancel(long call);

    /** Removes and returns the waiting work whose deadline has passed. */
    List<Shed> expire(long nowNanos);

    /** Removes and returns everything that waits, as this agent is stopping. */
    List<Shed> drain();

    /** Takes other bounds into force; what runs goes on. */
    void configure(AdmissionSettings settings, long nowNanos);

    /** Returns the earliest deadline of waiting work, or {@link Long#MAX_VALUE}. */
    long nextExpiryNanos();

    /** Returns the number of requests that wait. */
    int waiting();

    /** Returns the number of requests at the target. */
    int inFlight();

    /** Returns the number of requests that the target takes at a time now. */
    int limit();
}
