package org.coltsfootproxy.consensus;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Member;
import org.coltsfootproxy.message.LogEntry;
import org.coltsfootproxy.message.RaftMessage;

/**
 * The leader's decisions during one term: which proposals and member changes to append, when to
 * transfer leadership and when to step down.
 */
final class Leadership {
    /** Longest delay before followers learn of a new commit index if no other message is sent. */
    private static final long COMMIT_NOTICE_NANOS = Duration.ofMillis(20).toNanos();

    private final Group mGroup;
    private final Replication mReplication;
    private final Proposals mProposals;
    private final ReadBarriers mReadBarriers;
    private final MemberChanges mMemberChanges;
    private Optional<Handover> mHandover = Optional.empty();

    Leadership(
            Group group,
            Replication replication,
            Proposals proposals,
            ReadBarriers barriers,
            MemberChanges changes) {
        mGroup = group;
        mReplication = replication;
        mProposals = proposals;
        mReadBarriers = barriers;
        mMemberChanges = changes;
    }

    Replication replication() {
        return mReplication;
    }

    /** Returns whether a leadership transfer is in progress, during which proposals are refused. */
    boolean isHandingOver() {
        return mHandover.isPresent();
    }

    /**
     * Returns whether this host holds a valid lease and has applied everything acknowledged in
     * earlier terms.
     */
    boolean isLeaseValid(long nowNanos) {
        return mReplication.isTermApplied() && mReplication.isLeaseValid(nowNanos);
    }

    /** Returns when the leader next has something to do. */
    long nextTickNanos(long nowNanos) {
        boolean canStartReadRound = mReadBarriers.hasNewReads() && mReplication.isTermCommitted();
        if (canStartReadRound || mayAppend() && mProposals.isReady()) {
            return nowNanos;
        }
        long quorumDeadline = mReplication.quorumDeadlineNanos(nowNanos);
        return Math.min(mReplication.nextHeartbeatNanos(), quorumDeadline);
    }

    private boolean mayAppend() {
        return mGroup.writes().isIdle();
    }

    /** Returns whether no quorum has answered within the election timeout. */
    boolean hasLostQuorum(long nowNanos) {
        return nowNanos >= mReplication.quorumDeadlineNanos(nowNanos);
    }

    /**
     * Commits and appends what has become possible; returns whether this host must stop leading.
     */
    boolean advance(Step step) {
        if (mReplication.commit()) {
            mReplication.scheduleHeartbeatBy(step.nowNanos() + COMMIT_NOTICE_NANOS);
        }
        mReadBarriers.answered(mReplication.quorumAnsweredNanos(step.nowNanos()), step);
        if (isRemoved()) {
            mostAdvancedVoter(Set.of()).ifPresent(target -> sendTimeoutNow(target, step));
            return true;
        }
        startReadRound(step);
        if (mHandover.isPresent()) {
            return advance(mHandover.get(), step);
        }
        appendQueued(step);
        return false;
    }

    private boolean isRemoved() {
        return !mGroup.members().isVoter(mGroup.self())
                && mGroup.history().currentIndex() <= mGroup.commitIndex();
    }

    private void appendQueued(Step step) {
        if (!mayAppend()) {
            return;
        }
        Optional<MemberChanges.NextChange> change =
                mMemberChanges.next(mReplication, step.nowNanos());
        if (change.isPresent()) {
            appendMembers(change.get(), step);
        } else if (mProposals.isReady()) {
            append(mProposals.take(mGroup.settings().maxAppendBytes()), step);
        }
    }

    private void appendMembers(MemberChanges.NextChange change, Step step) {
        byte[] encoded = change.members().encode();
        Proposer.Completion done = change.done().orElse(null);
        append(List.of(new Proposals.Proposal(LogEntry.Kind.MEMBERS, encoded, done)), step);
        mGroup.log(step, EventCode.LOG_MEMBERS_CHANGED, change.members().toString());
    }

    private void append(List<Proposals.Proposal> proposals, Step step) {
        long index = mGroup.log().lastIndex();
        for (Proposals.Proposal proposal : proposals) {
            index++;
            if (proposal.done() != null) {
                mProposals.appended(index, proposal, step.nowNanos());
            }
        }
        mReplication.append(proposals, step);
    }

    private void startReadRound(Step step) {
        if (mReadBarriers.hasNewReads() && mReplication.isTermCommitted()) {
            mReadBarriers.startRound(step);
            mReplication.heartbeat(step);
            mReadBarriers.answered(mReplication.quorumAnsweredNanos(step.nowNanos()), step);
        }
    }

    /** Handles a replica's request for the current commit index. */
    void receive(RaftMessage.ReadRequest request, HostId from, Step step) {
        if (mReplication.isTermCommitted()) {
            mReadBarriers.startRound(from, request.number(), step);
            mReplication.heartbeat(step);
        } else {
            mReadBarriers.answer(from, request.number(), false, 0, step);
        }
    }

    /**
     * Starts a transfer to the most advanced voter; returns whether there is one.
     *
     * @param avoided hosts to which leadership is not transferred
     */
    boolean startHandover(Set<HostId> avoided, Step step) {
        long deadline = step.nowNanos() + mGroup.settings().electionTimeoutNanos();
        mHandover = mostAdvancedVoter(avoided).map(target -> new Handover(target, deadline));
        return mHandover.isPresent();
    }

    private Optional<Member> mostAdvancedVoter(Set<HostId> avoided) {
        return mGroup.members().voters().stream()
                .filter(member -> !avoided.contains(member.host()))
                .filter(member -> mReplication.progress(member).isPresent())
                .max(Comparator.comparingLong(this::matchIndex));
    }

    private long matchIndex(Member member) {
        return mReplication.progress(member).map(Progress::matchIndex).orElse(0L);
    }

    private boolean advance(Handover handover, Step step) {
        long last = mGroup.log().lastIndex();
        boolean ready =
                mProposals.isEmpty()
                        && mGroup.writes().isIdle()
                        && mGroup.commitIndex() == last
                        && matchIndex(handover.target()) == last;
        if (ready) {
            sendTimeoutNow(handover.target(), step);
            return true;
        }
        if (step.nowNanos() >= handover.deadlineNanos()) {
            mHandover = Optional.empty();
        } else if (mayAppend() && mProposals.isReady()) {
            append(mProposals.take(mGroup.settings().maxAppendBytes()), step);
        }
        return false;
    }

    /** Asks a member to take over; the caller must then stop leading in this term. */
    private void sendTimeoutNow(Member target, Step step) {
        step.send(
                target.host(),
                new RaftMessage.TimeoutNow(
                        mGroup.number(),
                        mGroup.incarnation(),
                        mGroup.term(),
                        target.incarnation()));
        mGroup.log(step, EventCode.LEADERSHIP_GIVEN_UP, "to " + target);
    }

    /** Fails all pending proposals, reads and member changes. */
    void failPending(Step step) {
        mProposals.failAll(ErrorKind.NO_LEADER);
        mReadBarriers.steppedDown(step);
        mMemberChanges.steppedDown();
    }

    /** Returns the replication lag of the other members, as shown to operators. */
    List<RaftStatus.Lag> lags(long nowNanos) {
        return mGroup.members()
                .all()
                .filter(member -> mReplication.progress(member).isPresent())
                .map(member -> lag(member, nowNanos))
                .toList();
    }

    private RaftStatus.Lag lag(Member member, long nowNanos) {
        Progress progress = mReplication.progress(member).orElseThrow();
        long silence = nowNanos - progress.answeredNanos();
        return new RaftStatus.Lag(
                member,
                mGroup.members().isVoter(member),
                mGroup.log().lastIndex() - progress.matchIndex(),
                silence < mGroup.settings().electionTimeoutNanos());
    }
}
