package org.coltsfootproxy.consensus;

import java.util.List;
import java.util.Optional;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.message.LogEntry;
import org.coltsfootproxy.message.RaftMessage;
import org.coltsfootproxy.node.LogWrite;

/** The follower's side of replication: stores entries and snapshots from the leader. */
final class LogReceiver {
    private final Group mGroup;
    private final Applier mApplier;
    private Optional<SnapshotAssembly> mAssembly = Optional.empty();
    private boolean mInstalling;
    private long mTerm;
    private long mVerifiedIndex;
    private long mRetryIndex;
    private long mSentAtNanos;

    LogReceiver(Group group, Applier applier) {
        mGroup = group;
        mApplier = applier;
    }

    /** Abandons a snapshot whose write failed. */
    void abandonSnapshot() {
        mInstalling = false;
        mAssembly = Optional.empty();
    }

    /** Handles the leader's entries or heartbeat. */
    void receive(RaftMessage.Append append, Step step) {
        recordMessage(append.sentAtNanos());
        if (!mInstalling && !mGroup.writes().isDiskFull()) {
            acceptEntries(append, step);
        }
        answer(step);
    }

    /**
     * Records a message's send time. In a new term, discards what was verified against an earlier
     * leader's log, since it need not match the new leader's.
     */
    private void recordMessage(long sentAtNanos) {
        if (mTerm == mGroup.term()) {
            mSentAtNanos = Math.max(mSentAtNanos, sentAtNanos);
            return;
        }
        mTerm = mGroup.term();
        mSentAtNanos = sentAtNanos;
        mVerifiedIndex = 0;
        mRetryIndex = 0;
        mAssembly = Optional.empty();
    }

    private void acceptEntries(RaftMessage.Append append, Step step) {
        long prev = append.prevIndex();
        RaftLog log = mGroup.log();
        if (prev >= log.baseIndex() && log.term(prev) != append.prevTerm()) {
            mRetryIndex = log.retryIndex(prev);
            return;
        }
        mRetryIndex = 0;
        List<LogEntry> missing =
                append.entries().stream().filter(entry -> !hasEntry(entry)).toList();
        if (!missing.isEmpty()) {
            appendFrom(append.entries(), missing.get(0).index(), step);
        }
        mVerifiedIndex = Math.max(mVerifiedIndex, prev + append.entries().size());
        mGroup.commitTo(Math.min(append.commitIndex(), mVerifiedIndex));
    }

    private boolean hasEntry(LogEntry entry) {
        RaftLog log = mGroup.log();
        return entry.index() <= log.baseIndex() || log.term(entry.index()) == entry.term();
    }

    private void appendFrom(List<LogEntry> entries, long from, Step step) {
        List<LogEntry> newEntries =
                entries.stream().filter(entry -> entry.index() >= from).toList();
        if (from <= mGroup.log().lastIndex()) {
            mGroup.truncateFrom(from);
        }
        newEntries.forEach(mGroup::add);
        mGroup.writes()
                .writeEntries(
                        LogWrite.of(newEntries), mGroup.term(), mGroup.log().lastIndex(), step);
    }

    /** Tells the leader up to which index the log is synced, or from which index to retry. */
    void answer(Step step) {
        if (mTerm == mGroup.term() && mGroup.writes().syncedTerm() >= mGroup.term()) {
            mGroup.leader().ifPresent(leader -> answer(leader, step));
        }
    }

    private void answer(HostId leader, Step step) {
        boolean matched = mRetryIndex == 0;
        long synced = Math.min(mVerifiedIndex, mGroup.writes().syncedIndex());
        step.send(
                leader,
                new RaftMessage.AppendAnswer(
                        mGroup.number(),
                        mGroup.incarnation(),
                        mGroup.term(),
                        matched,
                        matched ? synced : mRetryIndex,
                        mSentAtNanos));
    }

    /** Handles a piece of a snapshot. */
    void receive(RaftMessage.SnapshotPiece piece, Step step) {
        recordMessage(piece.sentAtNanos());
        if (mInstalling || mGroup.writes().isDiskFull()) {
            answer(step);
        } else if (isCovered(piece)) {
            markVerified(piece.index());
            answer(step);
        } else {
            assemble(piece, step);
        }
    }

    private boolean isCovered(RaftMessage.SnapshotPiece piece) {
        return piece.index() <= mGroup.commitIndex()
                || mGroup.log().term(piece.index()) == piece.indexTerm();
    }

    private void markVerified(long index) {
        mRetryIndex = 0;
        mVerifiedIndex = Math.max(mVerifiedIndex, index);
        mGroup.commitTo(index);
    }

    private void assemble(RaftMessage.SnapshotPiece piece, Step step) {
        SnapshotAssembly assembly =
                mAssembly
                        .filter(current -> current.accepts(piece))
                        .orElseGet(() -> SnapshotAssembly.of(piece));
        mAssembly = Optional.of(assembly);
        assembly.add(piece);
        if (assembly.isComplete()) {
            install(assembly.snapshot(), step);
        }
        if (mGroup.writes().syncedTerm() >= mGroup.term()) {
            mGroup.leader().ifPresent(to -> answerPiece(to, piece, assembly.size(), step));
        }
    }

    private void answerPiece(
            HostId to, RaftMessage.SnapshotPiece piece, long nextOffset, Step step) {
        step.send(
                to,
                new RaftMessage.SnapshotAnswer(
                        mGroup.number(),
                        mGroup.incarnation(),
                        mGroup.term(),
                        piece.index(),
                        nextOffset,
                        mSentAtNanos));
    }

    private void install(LogWrite.Snapshot snapshot, Step step) {
        mAssembly = Optional.empty();
        mInstalling = true;
        mGroup.writes()
                .writeInstalled(
                        LogWrite.of(snapshot),
                        mGroup.writes().syncedTerm(),
                        snapshot.index(),
                        step,
                        later -> finishInstall(snapshot, later));
    }

    private void finishInstall(LogWrite.Snapshot snapshot, Step step) {
        mInstalling = false;
        mGroup.resetTo(snapshot);
        mApplier.restore(snapshot);
        mVerifiedIndex = snapshot.index();
        mRetryIndex = 0;
        mGroup.log(step, EventCode.SNAPSHOT_INSTALLED, "index " + snapshot.index());
    }
}
