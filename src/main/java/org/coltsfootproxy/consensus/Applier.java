package org.coltsfootproxy.consensus;

import java.util.Optional;
import org.coltsfootproxy.base.Metric;
import org.coltsfootproxy.message.LogEntry;
import org.coltsfootproxy.node.LogWrite;

/** Applies entries that are committed and locally synced to the state machine; takes snapshots. */
final class Applier {
    private static final byte[] NO_RESULT = new byte[0];
    private static final double NANOS_PER_SECOND = 1e9;

    private final Group mGroup;
    private final StateMachine mMachine;
    private final Proposals mProposals;
    private long mLogBytes;
    private long mSnapshotBytes;
    private boolean mSnapshotInProgress;

    Applier(Group group, StateMachine machine, Proposals proposals) {
        mGroup = group;
        mMachine = machine;
        mProposals = proposals;
    }

    /** Replaces the state with that of a snapshot. */
    void restore(LogWrite.Snapshot snapshot) {
        mMachine.restore(snapshot.state());
        mSnapshotBytes = snapshot.state().length;
        mLogBytes = 0;
    }

    /** Applies all entries that are committed and locally synced. */
    void apply(Step step) {
        long end = Math.min(mGroup.commitIndex(), mGroup.writes().syncedIndex());
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
                .ifPresent(proposal -> complete(proposal, entry.index(), result, step));
    }

    private static void complete(
            Proposals.Uncommitted proposal, long index, byte[] result, Step step) {
        double seconds = (step.nowNanos() - proposal.appendedNanos()) / NANOS_PER_SECOND;
        step.out().measure(Metric.COMMIT_SECONDS, "", "", seconds);
        proposal.done().committed(index, result);
    }

    /** Returns the state as of the last applied entry. */
    LogWrite.Snapshot snapshot() {
        long index = mGroup.appliedIndex();
        return new LogWrite.Snapshot(
                index,
                mGroup.log().term(index),
                mGroup.history().at(index).encode(),
                mMachine.snapshot());
    }

    /**
     * Issues the write of a snapshot if the log since the last one exceeds both the configured
     * bound and the size of the last state. The latter keeps snapshots from more than doubling the
     * bytes written.
     */
    void snapshotIfDue(Step step) {
        long minLogBytes = Math.max(mGroup.settings().snapshotLogBytes(), mSnapshotBytes);
        if (mLogBytes < minLogBytes || mSnapshotInProgress || mGroup.writes().isDiskFull()) {
            return;
        }
        LogWrite.Snapshot snapshot = snapshot();
        mSnapshotInProgress = true;
        mSnapshotBytes = snapshot.state().length;
        mLogBytes = 0;
        mGroup.writes()
                .write(
                        LogWrite.of(snapshot),
                        mGroup.writes().syncedTerm(),
                        step,
                        later -> finishSnapshot(snapshot.index(), later));
    }

    private void finishSnapshot(long index, Step step) {
        mSnapshotInProgress = false;
        RaftSettings settings = mGroup.settings();
        mGroup.log().compact(index, settings.retainedEntries(), settings.retainedBytes());
        String group = "group-" + mGroup.number();
        step.out().measure(Metric.LOG_BYTES, "", group, mGroup.log().bytes());
        step.out().measure(Metric.SNAPSHOT_BYTES, "", group, mSnapshotBytes);
    }

    /** Abandons a snapshot whose write failed; another is taken later. */
    void abandonSnapshot() {
        mSnapshotInProgress = false;
    }

    /** Returns the size in bytes of the latest snapshot's state; empty before the first one. */
    Optional<Long> snapshotBytes() {
        return mSnapshotBytes == 0 ? Optional.empty() : Optional.of(mSnapshotBytes);
    }
}
