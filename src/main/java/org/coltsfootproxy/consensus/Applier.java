package org.coltsfootproxy.consensus;

import java.util.Optional;
import org.coltsfootproxy.base.Metric;
import org.coltsfootproxy.message.LogEntry;
import org.coltsfootproxy.node.StoreWrite;

/** Applies what is both committed and synced here to the state machine, and takes snapshots. */
final class Applier {
    private static final byte[] NO_RESULT = new byte[0];
    private static final double NANOS_PER_SECOND = 1e9;

    private final Group mGroup;
    private final StateMachine mMachine;
    private final Proposals mProposals;
    private long mLogBytes;
    private long mSnapshotBytes;
    private boolean mCompacting;

    Applier(Group group, StateMachine machine, Proposals proposals) {
        mGroup = group;
        mMachine = machine;
        mProposals = proposals;
    }

    /** Replaces the state by that of a snapshot. */
    void restore(StoreWrite.Snapshot snapshot) {
        mMachine.restore(snapshot.state());
        mSnapshotBytes = snapshot.state().length;
        mLogBytes = 0;
    }

    /** Applies all entries that may be applied. */
    void apply(Step step) {
        long end = Math.min(mGroup.commitIndex(), mGroup.journal().syncedIndex());
        while (mGroup.appliedIndex() < end) {
            long index = mGroup.appliedIndex() + 1;
            mGroup.setAppliedIndex(index);
            apply(mGroup.log().entry(index), step);
        }
    }

    private void apply(LogEntry entry, Step step) {
        mLogBytes += entry.bytes();
        byte[] result =
                entry.kind() == LogEntry.Kind.COMMAND
                        ? mMachine.apply(entry.index(), entry.command())
                        : NO_RESULT;
        mProposals
                .committed(entry.index())
                .ifPresent(waiting -> complete(waiting, entry.index(), result, step));
    }

    private static void complete(Proposals.Waiting waiting, long index, byte[] result, Step step) {
        double seconds = (step.nowNanos() - waiting.sinceNanos()) / NANOS_PER_SECOND;
        step.out().measure(Metric.COMMIT_SECONDS, "", "", seconds);
        waiting.done().committed(index, result);
    }

    /** Returns the state as of the last applied entry. */
    StoreWrite.Snapshot snapshot() {
        long index = mGroup.appliedIndex();
        return new StoreWrite.Snapshot(
                index,
                mGroup.log().term(index),
                mGroup.history().at(index).encode(),
                mMachine.snapshot());
    }

    /**
     * Has a snapshot written if the log since the last one has outgrown both its bound and the
     * state, so that snapshots at most double what is written.
     */
    void compact(Step step) {
        long bound = Math.max(mGroup.settings().snapshotLogBytes(), mSnapshotBytes);
        if (mLogBytes < bound || mCompacting || mGroup.journal().isFull()) {
            return;
        }
        StoreWrite.Snapshot snapshot = snapshot();
        mCompacting = true;
        mSnapshotBytes = snapshot.state().length;
        mLogBytes = 0;
        mGroup.journal()
                .write(
                        StoreWrite.of(snapshot),
                        mGroup.journal().syncedTerm(),
                        step,
                        later -> finish(snapshot.index()));
    }

    private void finish(long index) {
        mCompacting = false;
        mGroup.log().compactTo(index - mGroup.settings().retainedEntries());
    }

    /** Forgets a snapshot whose write failed; the next one comes later. */
    void abort() {
        mCompacting = false;
    }

    /** Returns the snapshot's state size in bytes, or empty before the first. */
    Optional<Long> snapshotBytes() {
        return mSnapshotBytes == 0 ? Optional.empty() : Optional.of(mSnapshotBytes);
    }
}
