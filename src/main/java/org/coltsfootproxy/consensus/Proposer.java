package org.coltsfootproxy.consensus;

import java.util.Optional;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.HostId;

/** Proposes commands to a replicated log. */
public interface Proposer {
    /**
     * Proposes a command.
     *
     * @param done called once with the outcome, on the same thread, either at once or later
     */
    void propose(byte[] command, Completion done);

    /** Returns whether this host leads and its lease is valid at {@code nowNanos}. */
    boolean isLeader(long nowNanos);

    /** Returns the host that this member believes to be the leader. */
    Optional<HostId> leader();

    /** Receives the outcome of a proposal. */
    interface Completion {
        /** Called when the command is committed and applied. */
        void committed(long index, byte[] result);

        /**
         * Called when the command is not known to be committed.
         *
         * @param kind {@link ErrorKind#COMMIT_UNKNOWN} if the command may still be committed; with
         *     any other kind, such as {@link ErrorKind#NO_LEADER} or {@link
         *     ErrorKind#STORAGE_FULL}, it is never applied
         */
        void failed(ErrorKind kind);
    }
}
