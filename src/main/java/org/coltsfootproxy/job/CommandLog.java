package org.coltsfootproxy.job;

import java.util.function.Consumer;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.consensus.Proposer;

/** Proposes ledger commands, with a bound on how many may be on their way. */
final class CommandLog {
    private static final int MAX_PENDING = 256;
    private static final long MAX_PENDING_BYTES = 16L << 20;

    private final Proposer mProposer;
    private final Runnable mOnUnknown;
    private int mPending;
    private long mPendingBytes;

    private CommandLog(Proposer proposer, Runnable onUnknown) {
        mProposer = proposer;
        mOnUnknown = onUnknown;
    }

    /**
     * Returns a log without pending commands.
     *
     * @param onUnknown run when the outcome of a command got lost, so that what the leader keeps in
     *     memory may no longer agree with the ledger
     */
    static CommandLog create(Proposer proposer, Runnable onUnknown) {
        return new CommandLog(proposer, onUnknown);
    }

    /**
     * Proposes a command; exactly one of the two is told, now or later.
     *
     * @param done told the result once it is committed
     * @param failed told {@link ErrorKind#OVERLOADED} if too much is on its way, or why the log
     *     failed
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
                settle(bytes);
                try {
                    done.accept(JobLedger.outcome(result));
                } catch (ProxyException e) {
                    throw new IllegalStateException("the ledger's own result is malformed", e);
                }
            }

            @Override
            public void failed(ErrorKind kind) {
                settle(bytes);
                failed.accept(kind);
                if (kind == ErrorKind.COMMIT_UNKNOWN) {
                    mOnUnknown.run();
                }
            }
        };
    }

    private void settle(int bytes) {
        mPending--;
        mPendingBytes -= bytes;
    }

    int pending() {
        return mPending;
    }
}
