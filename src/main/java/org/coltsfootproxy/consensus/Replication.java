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
import org.coltsfootproxy.node.StoreWrite;

/** A leader's side of replication in one term: sends entries and snapshots and counts answers. */
final class Replication {
    private static final byte[] EMPTY = new byte[0];

    private final Group mGroup;
    private final Supplier<StoreWrite.Snapshot> mSnapshots;
    private final Map<Member, Progress> mProgress = new TreeMap<>();
    private final long mSinceNanos;
    private final long mFirstIndex;
    private long mHeartbeatNanos;
    private long mTrustedSinceNanos;

    /** Begins the term's log with an entry of its own. */
    Replication(Group group, Supplier<StoreWrite.Snapshot> snapshots, Step step) {
        mGroup = group;
        mSnapshots = snapshots;
        mSinceNanos = step.nowNanos();
        mTrustedSinceNanos = mSinceNanos;
        mFirstIndex = group.log().lastIndex() + 1;
        mHeartbeatNanos = step.nowNanos() + group.settings().heartbeatNanos();
        append(List.of(new Proposals.Proposal(LogEntry.Kind.NOOP, EMPTY, null)), step);
    }

    /** Adds entries to the log, has them written and sends them. */
    void append(List<Proposals.Proposal> proposals, Step step) {
        List<LogEntry> entries = new ArrayList<>();
        for (Proposals.Proposal proposal : proposals) {
            long index = mGroup.log().lastIndex() + 1;
            LogEntry entry = LogEntry.of(index, mGroup.term(), proposal.kind(), proposal.command());
            mGroup.add(entry);
            entries.add(entry);
        }
        mGroup.journal()
                .writeEntries(
                        StoreWrite.of(entries), mGroup.term(), mGroup.log().lastIndex(), step);
        followMembers();
        sendAll(false, step);
    }

    private void followMembers() {
        Members members = mGroup.members();
        mProgress.keySet().removeIf(member -> !members.contains(member));
        members.all()
                .filter(member -> !member.equals(mGroup.self()))
                .forEach(member -> mProgress.computeIfAbsent(member, this::newProgress));
    }

    private Progress newProgress(Member member) {
        return new Progress(mFirstIndex);
    }

    /** Returns what is known of the member, or empty for others and for this host. */
    Optional<Progress> progress(Member member) {
        return Optional.ofNullable(mProgress.get(member));
    }

    /** Returns how long a member has not answered, at most since this term began. */
    long silenceNanos(Member member, long nowNanos) {
        long answered = progress(member).map(Progress::answeredNanos).orElse(mSinceNanos);
        return nowNanos - Math.max(answered, mSinceNanos);
    }

    /** Returns when the next heartbeats are due. */
    long heartbeatNanos() {
        return mHeartbeatNanos;
    }

    /** Has the next heartbeats sent by {@code nanos}. */
    void hurryHeartbeat(long nanos) {
        mHeartbeatNanos = Math.min(mHeartbeatNanos, nanos);
    }

    void tick(Step step) {
        if (step.nowNanos() >= mHeartbeatNanos) {
            heartbeat(step);
        }
    }

    /** Sends every member a message now. */
    void heartbeat(Step step) {
        mHeartbeatNanos = step.nowNanos() + mGroup.settings().heartbeatNanos();
        sendAll(true, step);
    }

    private void sendAll(boolean always, Step step) {
        mProgress.forEach((member, progress) -> send(member, progress, always, step));
    }

    private void send(Member member, Progress progress, boolean always, Step step) {
        if (progress.transfer().isEmpty() && progress.nextIndex() <= mGroup.log().baseIndex()) {
            progress.begin(new SnapshotTransfer(shareSnapshot()));
            sendPiece(member, progress.transfer().get(), step);
        } else if (progress.transfer().isPresent()) {
            resendPiece(member, progress.transfer().get(), step);
        } else {
            boolean sent = sendEntries(member, progress, step);
            if (always && !sent) {
                sendAppend(member, progress.nextIndex() - 1, List.of(), step);
            }
        }
    }

    private StoreWrite.Snapshot shareSnapshot() {
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
        while (progress.hasRoom(mGroup.settings().maxInFlight())
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

    /** Takes a member's answer and sends what it needs next. */
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
        } else if (progress.transfer().isEmpty() && progress.missed(answer.index())) {
            send(member, progress, true, step);
        }
    }

    private static void endTransfer(Progress progress) {
        progress.transfer()
                .filter(transfer -> progress.matchIndex() >= transfer.index())
                .ifPresent(transfer -> progress.endTransfer());
    }

    /** Takes a member's answer to a piece and sends the next. */
    void receive(Member member, RaftMessage.SnapshotAnswer answer, Step step) {
        Progress progress = mProgress.get(member);
        if (progress == null) {
            return;
        }
        progress.answered(answer.sentAtNanos());
        progress.transfer()
                .filter(transfer -> transfer.index() == answer.index())
                .filter(transfer -> transfer.moveTo(answer.nextOffset()))
                .filter(transfer -> !transfer.isWhole())
                .ifPresent(transfer -> sendPiece(member, transfer, step));
    }

    /** Raises the commit index to what a quorum has synced; tells whether it rose. */
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
                ? mGroup.journal().syncedIndex()
                : progress(member).map(Progress::matchIndex).orElse(0L);
    }

    /** Returns the latest time such that a quorum answered messages sent then or later. */
    long quorumAnsweredNanos(long nowNanos) {
        return mGroup.members()
                .quorumValue(
                        member -> member.equals(mGroup.self()) ? nowNanos : answeredNanos(member));
    }

    private long answeredNanos(Member member) {
        return progress(member).map(Progress::answeredNanos).orElse(Progress.NEVER_ANSWERED);
    }

    /** Tells whether an entry of this term is committed, and with it all earlier ones. */
    boolean isTermCommitted() {
        return mGroup.commitIndex() >= mFirstIndex;
    }

    /** Tells whether everything acknowledged in earlier terms is applied here. */
    boolean isTermApplied() {
        return mGroup.appliedIndex() >= mFirstIndex;
    }

    /** Returns when the leader gives up unless a quorum answers before. */
    long quorumDeadlineNanos(long nowNanos) {
        return Math.max(mSinceNanos, quorumAnsweredNanos(nowNanos))
                + mGroup.settings().electionTimeoutNanos();
    }

    /** Tells whether no other member can have become leader by {@code nowNanos}. */
    boolean isLeaseValid(long nowNanos) {
        long answered = quorumAnsweredNanos(nowNanos);
        return answered >= mTrustedSinceNanos
                && nowNanos - answered < mGroup.settings().leaseNanos();
    }

    /** Counts no message sent before {@code nowNanos} for the lease, as time may have passed. */
    void distrust(long nowNanos) {
        mTrustedSinceNanos = nowNanos;
        hurryHeartbeat(nowNanos);
    }
}
