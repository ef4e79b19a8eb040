package org.coltsfootproxy.node;

/**
 * The logic of one role as a deterministic state machine, without I/O.
 *
 * <p>Implementations are single-threaded and deterministic: they open no sockets or files, start no
 * threads, read no clock and draw random numbers only from the source that they were created with.
 * Times are nanoseconds of a monotonic clock with an arbitrary origin.
 */
public interface Node {
    /** Returned by {@link #nextTickNanos} if no timer is set. */
    long NEVER = Long.MAX_VALUE;

    /** Starts the node. The driver calls this once, before any other method. */
    void start(long nowNanos, Effects out);

    /** Handles one input and adds the resulting effects to {@code out}. */
    void handle(Input input, long nowNanos, Effects out);

    /** Runs the timers that are due at {@code nowNanos}. */
    void tick(long nowNanos, Effects out);

    /** Returns when {@link #tick} is due next, or {@link #NEVER} if no timer is set. */
    long nextTickNanos();

    /** Returns whether a planned stop has begun and no work is left to finish. */
    boolean isDrained();
}
