package org.coltsfootproxy.job;

import java.util.function.Consumer;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.consensus.Proposer;

/** Proposes ledger commands, with limits on the number and bytes of commands in flight. */
final class CommandLog {
    private static final int MAX_PENDING = 256;
    private static final long MAX_PENDING_BYTES = 16L << 20;

    private final Proposer mProposer;
    private final Runnable mOnUnknownOutcome;
    private int mPending;
    private long mPendingBytes;

    private CommandLog(Proposer proposer, Runnable onUnknownOutcome) {
        mProposer = proposer;
        mOnUnknownOutcome = onUnknownOutcome;
    }

    /**
     * Returns a log without pending commands.
     *
     * @param onUnknownOutcome run when the outcome of a command is unknown, so that the leader's
     *     state in memory may not match the ledger
     */
    static CommandLog create(Proposer proposer, Runnable onUnknownOutcome) {
        return new CommandLog(proposer, onUnknownOutcome);
    }

    /**
     * Proposes a command. Exactly one of the two callbacks is called, during this call or later.
     *
     * @param done receives the result once the command is committed
     * @param failed receives {@link ErrorKind#OVERLOADED} if too much is in flight, else the reason
     *     why the log failed
     */
    void propose(JobCommand command, Consumer<JobOutcome> done, Consumer<ErrorKind> failed) {
        byte[] bytes = JobLedger.encode(command);
        if (mPending >= MAX_PENDING || mPendingBytes + bytes.length > MAX_PENDING_BYTES) {
            failed.accept(ErrorKind.OVERLOADED);
            return;
        }
        mPending++;
        mPendingBytes += bytes.length;
        mProposer.propose(bytes, completion(bytes.length, done, failed));
    }

    private Proposer.Completion completion(
            int bytes, Consumer<JobOutcome> done, Consumer<ErrorKind> failed) {
        return new Proposer.Completion() {
            @Override
            public void committed(long index, byte[] result) {
                release(bytes);
                try {
                    done.accept(JobLedger.outcome(result));
                } catch (ProxyException e) {
                    throw new IllegalStateException(
                            "can't decode the result of a ledger command", e);
                }
            }

            @Override
            public void failed(ErrorKind kind) {
                release(bytes);
                failed.accept(kind);
                if (kind == ErrorKind.COMMIT_UNKNOWN) {
                    mOnUnknownOutcome.run();
                }
            }
        };
    }

    private void release(int bytes) {
        mPending--;
        mPendingBytes -= bytes;
    }

    int pending() {
        return mPending;
    }
}
