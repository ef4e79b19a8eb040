package org.coltsfootproxy.consensus;

import java.util.Optional;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.HostId;

/** The way to put a command into a replicated log. */
public interface Proposer {
    /**
     * Proposes a command.
     *
     * @param done told the outcome once, on the same thread, now or in a later step
     */
    void propose(byte[] command, Completion done);

    /** Tells whether this host leads and its lease is valid at {@code nowNanos}. */
    boolean isLeader(long nowNanos);

    /** Returns the host believed to lead. */
    Optional<HostId> leader();

    /** Told what became of a proposal. */
    interface Completion {
        /** The command is committed and applied. */
        void committed(long index, byte[] result);

        /**
         * The outcome is not known to be a commit.
         *
         * @param kind {@link ErrorKind#NO_LEADER} or {@link ErrorKind#STORAGE_FULL} if it was
         *     certainly not taken, {@link ErrorKind#COMMIT_UNKNOWN} otherwise
         */
        void failed(ErrorKind kind);
    }
}
