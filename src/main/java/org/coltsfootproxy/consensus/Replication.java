package org.coltsfootproxy.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.coltsfootproxy.base.Member;
import org.coltsfootproxy.message.LogEntry;
import org.coltsfootproxy.message.RaftMessage;
import org.coltsfootproxy.node.LogWrite;

/** The leader's side of replication in one term: sends entries and snapshots, tracks answers. */
final class Replication {
    private static final byte[] EMPTY = new byte[0];

    private final Group mGroup;
    private final Supplier<LogWrite.Snapshot> mSnapshots;
    private final Map<Member, Progress> mProgress = new TreeMap<>();
    private final long mTermStartNanos;
    private final long mTermFirstIndex;
    private long mNextHeartbeatNanos;

    /** Answers to messages sent before this time do not count towards the lease. */
    private long mLeaseCountedFromNanos;

    /** Starts replication in a new term and appends the term's first entry, a no-op. */
    Replication(Group group, Supplier<LogWrite.Snapshot> snapshots, Step step) {
        mGroup = group;
        mSnapshots = snapshots;
        mTermStartNanos = step.nowNanos();
        mLeaseCountedFromNanos = mTermStartNanos;
        mTermFirstIndex = group.log().lastIndex() + 1;
        mNextHeartbeatNanos = step.nowNanos() + group.settings().heartbeatNanos();
        append(List.of(new Proposals.Proposal(LogEntry.Kind.NOOP, EMPTY, null)), step);
    }

    /** Appends entries to the log, issues their write and sends them to the members. */
    void append(List<Proposals.Proposal> proposals, Step step) {
        List<LogEntry> entries = new ArrayList<>();
        for (Proposals.Proposal proposal : proposals) {
            long index = mGroup.log().lastIndex() + 1;
            LogEntry entry = LogEntry.of(index, mGroup.term(), proposal.kind(), proposal.command());
            mGroup.add(entry);
            entries.add(entry);
        }
        mGroup.writes()
                .writeEntries(LogWrite.of(entries), mGroup.term(), mGroup.log().lastIndex(), step);
        updateTrackedMembers();
        sendAll(false, step);
    }

    private void updateTrackedMembers() {
        Members members = mGroup.members();
        mProgress.keySet().removeIf(member -> !members.contains(member));
        members.all()
                .filter(member -> !member.equals(mGroup.self()))
                .forEach(member -> mProgress.computeIfAbsent(member, this::newProgress));
    }

    private Progress newProgress(Member member) {
        return new Progress(mTermFirstIndex);
    }

    /** Returns the progress of a member; empty for non-members and for this host. */
    Optional<Progress> progress(Member member) {
        return Optional.ofNullable(mProgress.get(member));
    }

    /** Returns the time since a member last answered, or since this term began if that is later. */
    long silenceNanos(Member member, long nowNanos) {
        long answered = progress(member).map(Progress::answeredNanos).orElse(mTermStartNanos);
        return nowNanos - Math.max(answered, mTermStartNanos);
    }

    /** Returns when the next round of heartbeats is due. */
    long nextHeartbeatNanos() {
        return mNextHeartbeatNanos;
    }

    /** Moves the next round of heartbeats forward to {@code nanos} if it is due later. */
    void scheduleHeartbeatBy(long nanos) {
        mNextHeartbeatNanos = Math.min(mNextHeartbeatNanos, nanos);
    }

    void tick(Step step) {
        if (step.nowNanos() >= mNextHeartbeatNanos) {
            heartbeat(step);
        }
    }

    /** Sends every member a message now, empty if there are no entries to send. */
    void heartbeat(Step step) {
        mNextHeartbeatNanos = step.nowNanos() + mGroup.settings().heartbeatNanos();
        sendAll(true, step);
    }

    private void sendAll(boolean evenIfEmpty, Step step) {
        mProgress.forEach((member, progress) -> send(member, progress, evenIfEmpty, step));
    }

    private void send(Member member, Progress progress, boolean evenIfEmpty, Step step) {
        if (progress.transfer().isEmpty() && progress.nextIndex() <= mGroup.log().baseIndex()) {
            progress.beginTransfer(new SnapshotTransfer(reuseOrTakeSnapshot()));
            sendPiece(member, progress.transfer().get(), step);
        } else if (progress.transfer().isPresent()) {
            resendPiece(member, progress.transfer().get(), step);
        } else {
            boolean sent = sendEntries(member, progress, step);
            if (evenIfEmpty && !sent) {
                sendAppend(member, progress.nextIndex() - 1, List.of(), step);
            }
        }
    }

    private LogWrite.Snapshot reuseOrTakeSnapshot() {
        return mProgress.values().stream()
                .flatMap(progress -> progress.transfer().stream())
                .map(SnapshotTransfer::snapshot)
                .filter(snapshot -> snapshot.index() >= mGroup.log().baseIndex())
                .findFirst()
                .orElseGet(mSnapshots);
    }

    private void resendPiece(Member member, SnapshotTransfer transfer, Step step) {
        long silence = step.nowNanos() - transfer.sentNanos();
        if (silence >= mGroup.settings().heartbeatNanos()) {
            sendPiece(member, transfer, step);
        }
    }

    private void sendPiece(Member member, SnapshotTransfer transfer, Step step) {
        step.send(member.host(), transfer.piece(mGroup, member, step.nowNanos()));
    }

    private boolean sendEntries(Member member, Progress progress, Step step) {
        boolean sent = false;
        while (progress.hasRoomInFlight(mGroup.settings().maxInFlight())
                && progress.nextIndex() <= mGroup.log().lastIndex()) {
            long prev = progress.nextIndex() - 1;
            int maxBytes = mGroup.settings().maxAppendBytes();
            List<LogEntry> entries = mGroup.log().slice(prev + 1, maxBytes);
            sendAppend(member, prev, entries, step);
            progress.sent(prev + entries.size());
            sent = true;
        }
        return sent;
    }

    private void sendAppend(Member member, long prev, List<LogEntry> entries, Step step) {
        step.send(
                member.host(),
                new RaftMessage.Append(
                        mGroup.number(),
                        mGroup.incarnation(),
                        mGroup.term(),
                        member.incarnation(),
                        prev,
                        mGroup.log().term(prev),
                        mGroup.commitIndex(),
                        step.nowNanos(),
                        entries));
    }

    /** Handles a member's answer to an append and sends what the member needs next. */
    void receive(Member member, RaftMessage.AppendAnswer answer, Step step) {
        Progress progress = mProgress.get(member);
        if (progress == null) {
            return;
        }
        progress.answered(answer.sentAtNanos());
        if (answer.matched()) {
            progress.matched(answer.index());
            endTransfer(progress);
            send(member, progress, false, step);
        } else if (progress.transfer().isEmpty() && progress.retryFrom(answer.index())) {
            send(member, progress, true, step);
        }
    }

    private static void endTransfer(Progress progress) {
        progress.transfer()
                .filter(transfer -> progress.matchIndex() >= transfer.index())
                .ifPresent(transfer -> progress.endTransfer());
    }

    /** Handles a member's answer to a snapshot piece and sends the next one. */
    void receive(Member member, RaftMessage.SnapshotAnswer answer, Step step) {
        Progress progress = mProgress.get(member);
        if (progress == null) {
            return;
        }
        progress.answered(answer.sentAtNanos());
        progress.transfer()
                .filter(transfer -> transfer.index() == answer.index())
                .filter(transfer -> transfer.moveTo(answer.nextOffset()))
                .filter(transfer -> !transfer.isComplete())
                .ifPresent(transfer -> sendPiece(member, transfer, step));
    }

    /**
     * Raises the commit index to the last entry that a quorum has synced, if that entry is of this
     * term; returns whether it rose.
     */
    boolean commit() {
        long index = mGroup.members().quorumValue(this::syncedIndex);
        boolean rises = index > mGroup.commitIndex() && mGroup.log().term(index) == mGroup.term();
        if (rises) {
            mGroup.commitTo(index);
        }
        return rises;
    }

    private long syncedIndex(Member member) {
        return member.equals(mGroup.self())
                ? mGroup.writes().syncedIndex()
                : progress(member).map(Progress::matchIndex).orElse(0L);
    }

    /** Returns the latest time such that a quorum has answered messages sent then or later. */
    long quorumAnsweredNanos(long nowNanos) {
        return mGroup.members()
                .quorumValue(
                        member -> member.equals(mGroup.self()) ? nowNanos : answeredNanos(member));
    }

    private long answeredNanos(Member member) {
        return progress(member).map(Progress::answeredNanos).orElse(Progress.NEVER_ANSWERED);
    }

    /** Returns whether an entry of this term is committed, and with it all earlier entries. */
    boolean isTermCommitted() {
        return mGroup.commitIndex() >= mTermFirstIndex;
    }

    /** Returns whether everything acknowledged in earlier terms is applied locally. */
    boolean isTermApplied() {
        return mGroup.appliedIndex() >= mTermFirstIndex;
    }

    /** Returns when the leader steps down unless a quorum answers first. */
    long quorumDeadlineNanos(long nowNanos) {
        return Math.max(mTermStartNanos, quorumAnsweredNanos(nowNanos))
                + mGroup.settings().electionTimeoutNanos();
    }

    /** Returns whether no other member can have become leader by {@code nowNanos}. */
    boolean isLeaseValid(long nowNanos) {
        long answered = quorumAnsweredNanos(nowNanos);
        return answered >= mLeaseCountedFromNanos
                && nowNanos - answered < mGroup.settings().leaseNanos();
    }

    /**
     * Stops counting messages sent before {@code nowNanos} towards the lease. Called when the
     * process may have been paused for an unknown time.
     */
    void invalidateLease(long nowNanos) {
        mLeaseCountedFromNanos = nowNanos;
        scheduleHeartbeatBy(nowNanos);
    }
}
