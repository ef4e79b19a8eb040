package org.coltsfootproxy.consensus;

/**
 * State that a replicated log drives: every member applies the same commands in the same order.
 *
 * <p>Implementations are deterministic: times and random numbers come inside the commands.
 */
public interface StateMachine {
    /**
     * Applies a committed command.
     *
     * @return the result for the proposer; the same on every member
     */
    byte[] apply(long index, byte[] command);

    /** Returns the whole state. */
    byte[] snapshot();

    /** Replaces the state by that of a snapshot. */
    void restore(byte[] snapshot);
}
