package org.coltsfootproxy.node;

/**
 * The decisions of one role.
 *
 * <p>Implementations are single-threaded and deterministic: they open no socket, file or thread,
 * read no clock and draw random numbers only from the source that they were created with. Times are
 * nanoseconds of a monotonic clock with an arbitrary origin.
 */
public interface Node {
    /** The answer of {@link #nextTickNanos} when no timer is set. */
    long NEVER = Long.MAX_VALUE;

    /** Begins work; called once, before any other method. */
    void start(long nowNanos, Effects out);

    /** Handles one input. */
    void handle(Input input, long nowNanos, Effects out);

    /** Does whatever is due by {@code nowNanos}. */
    void tick(long nowNanos, Effects out);

    /** Returns the time of the next due {@link #tick}, or {@link #NEVER}. */
    long nextTickNanos();

    /** Tells whether a planned stop has begun and nothing is left to finish. */
    boolean isDrained();
}
