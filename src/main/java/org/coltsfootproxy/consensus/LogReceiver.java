package org.coltsfootproxy.consensus;

import java.util.List;
import java.util.Optional;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.message.LogEntry;
import org.coltsfootproxy.message.RaftMessage;
import org.coltsfootproxy.node.StoreWrite;

/** A follower's side of replication: takes entries and snapshots of its term's leader. */
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

    /** Forgets a snapshot whose write failed. */
    void abort() {
        mInstalling = false;
        mAssembly = Optional.empty();
    }

    /** Takes a leader's entries or heartbeat. */
    void receive(RaftMessage.Append append, Step step) {
        heard(append.sentAtNanos());
        if (!mInstalling && !mGroup.journal().isFull()) {
            take(append, step);
        }
        answer(step);
    }

    /** Notes a message; what was verified against a former term's leader doesn't hold any more. */
    private void heard(long sentAtNanos) {
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

    private void take(RaftMessage.Append append, Step step) {
        long prev = append.prevIndex();
        RaftLog log = mGroup.log();
        if (prev >= log.baseIndex() && log.term(prev) != append.prevTerm()) {
            mRetryIndex = log.retryIndex(prev);
            return;
        }
        mRetryIndex = 0;
        List<LogEntry> missing =
                append.entries().stream().filter(entry -> !isPresent(entry)).toList();
        if (!missing.isEmpty()) {
            store(append.entries(), missing.get(0).index(), step);
        }
        mVerifiedIndex = Math.max(mVerifiedIndex, prev + append.entries().size());
        mGroup.commitTo(Math.min(append.commitIndex(), mVerifiedIndex));
    }

    private boolean isPresent(LogEntry entry) {
        RaftLog log = mGroup.log();
        return entry.index() <= log.baseIndex() || log.term(entry.index()) == entry.term();
    }

    private void store(List<LogEntry> entries, long from, Step step) {
        List<LogEntry> added = entries.stream().filter(entry -> entry.index() >= from).toList();
        if (from <= mGroup.log().lastIndex()) {
            mGroup.truncateFrom(from);
        }
        added.forEach(mGroup::add);
        mGroup.journal()
                .writeEntries(StoreWrite.of(added), mGroup.term(), mGroup.log().lastIndex(), step);
    }

    /** Tells the leader what is synced here, or which entry to try next. */
    void answer(Step step) {
        if (mTerm == mGroup.term() && mGroup.journal().syncedTerm() >= mGroup.term()) {
            mGroup.leader().ifPresent(leader -> answer(leader, step));
        }
    }

    private void answer(HostId leader, Step step) {
        boolean matched = mRetryIndex == 0;
        long synced = Math.min(mVerifiedIndex, mGroup.journal().syncedIndex());
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

    /** Takes a piece of a snapshot. */
    void receive(RaftMessage.SnapshotPiece piece, Step step) {
        heard(piece.sentAtNanos());
        if (mInstalling || mGroup.journal().isFull()) {
            answer(step);
        } else if (isCovered(piece)) {
            verify(piece.index());
            answer(step);
        } else {
            assemble(piece, step);
        }
    }

    private boolean isCovered(RaftMessage.SnapshotPiece piece) {
        return piece.index() <= mGroup.commitIndex()
                || mGroup.log().term(piece.index()) == piece.indexTerm();
    }

    private void verify(long index) {
        mRetryIndex = 0;
        mVerifiedIndex = Math.max(mVerifiedIndex, index);
        mGroup.commitTo(index);
    }

    private void assemble(RaftMessage.SnapshotPiece piece, Step step) {
        SnapshotAssembly assembly =
                mAssembly
                        .filter(current -> current.isOf(piece))
                        .orElseGet(() -> SnapshotAssembly.of(piece));
        mAssembly = Optional.of(assembly);
        assembly.add(piece);
        if (assembly.isWhole()) {
            install(assembly.snapshot(), step);
        }
        if (mGroup.journal().syncedTerm() >= mGroup.term()) {
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

    private void install(StoreWrite.Snapshot snapshot, Step step) {
        mAssembly = Optional.empty();
        mInstalling = true;
        mGroup.journal()
                .writeInstalled(
                        StoreWrite.of(snapshot),
                        mGroup.journal().syncedTerm(),
                        snapshot.index(),
                        step,
                        later -> installed(snapshot, later));
    }

    private void installed(StoreWrite.Snapshot snapshot, Step step) {
        mInstalling = false;
        mGroup.resetTo(snapshot);
        mApplier.restore(snapshot);
        mVerifiedIndex = snapshot.index();
        mRetryIndex = 0;
        mGroup.log(step, EventCode.SNAPSHOT_INSTALLED, "index " + snapshot.index());
    }
}
