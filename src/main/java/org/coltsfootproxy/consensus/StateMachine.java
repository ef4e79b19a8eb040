package org.coltsfootproxy.consensus;

/**
 * State that is replicated through a log: every member applies the same commands in the same order.
 *
 * <p>Implementations must be deterministic: times and random numbers are part of the commands.
 */
public interface StateMachine {
    /**
     * Applies a committed command.
     *
     * @return the result for the proposer; must be the same on every member
     */
    byte[] apply(long index, byte[] command);

    /** Returns the encoded state. */
    byte[] snapshot();

    /** Replaces the state with that of a snapshot. */
    void restore(byte[] snapshot);
}
