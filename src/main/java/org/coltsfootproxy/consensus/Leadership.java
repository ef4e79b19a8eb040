package org.coltsfootproxy.consensus;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.Member;
import org.coltsfootproxy.message.LogEntry;
import org.coltsfootproxy.message.RaftMessage;

/** What a leader decides in one term: what enters the log, when to hand over and when to stop. */
final class Leadership {
    /** Time after which followers are told of a commit if nothing else is sent to them. */
    private static final long COMMIT_NOTICE_NANOS = Duration.ofMillis(20).toNanos();

    private final Group mGroup;
    private final Replication mReplication;
    private final Proposals mProposals;
    private final ReadBarriers mBarriers;
    private final MemberChanges mChanges;
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
        mBarriers = barriers;
        mChanges = changes;
    }

    Replication replication() {
        return mReplication;
    }

    /** Tells whether proposals are refused because another member is about to take over. */
    boolean isHandingOver() {
        return mHandover.isPresent();
    }

    /** Tells whether this host leads for sure and knows all that was acknowledged. */
    boolean isLeaseValid(long nowNanos) {
        return mReplication.isTermApplied() && mReplication.isLeaseValid(nowNanos);
    }

    /** Returns when something is due. */
    long nextTickNanos(long nowNanos) {
        boolean reads = mBarriers.hasNew() && mReplication.isTermCommitted();
        if (reads || mayAppend() && mProposals.isReady()) {
            return nowNanos;
        }
        long quorum = mReplication.quorumDeadlineNanos(nowNanos);
        return Math.min(mReplication.heartbeatNanos(), quorum);
    }

    private boolean mayAppend() {
        return mGroup.journal().isIdle();
    }

    /** Tells whether a quorum has not answered for the election timeout. */
    boolean isCutOff(long nowNanos) {
        return nowNanos >= mReplication.quorumDeadlineNanos(nowNanos);
    }

    /** Does what has become possible; tells whether this host must stop leading. */
    boolean advance(Step step) {
        if (mReplication.commit()) {
            mReplication.hurryHeartbeat(step.nowNanos() + COMMIT_NOTICE_NANOS);
        }
        mBarriers.answered(mReplication.quorumAnsweredNanos(step.nowNanos()), step);
        if (isRemoved()) {
            bestVoter().ifPresent(target -> askToTakeOver(target, step));
            return true;
        }
        startReads(step);
        if (mHandover.isPresent()) {
            return advance(mHandover.get(), step);
        }
        appendWaiting(step);
        return false;
    }

    private boolean isRemoved() {
        return !mGroup.members().isVoter(mGroup.self())
                && mGroup.history().currentIndex() <= mGroup.commitIndex();
    }

    private void appendWaiting(Step step) {
        if (!mayAppend()) {
            return;
        }
        Optional<MemberChanges.Next> change = mChanges.next(mReplication, step.nowNanos());
        if (change.isPresent()) {
            appendMembers(change.get(), step);
        } else if (mProposals.isReady()) {
            append(mProposals.take(mGroup.settings().maxAppendBytes()), step);
        }
    }

    private void appendMembers(MemberChanges.Next change, Step step) {
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
                mProposals.entered(index, proposal, step.nowNanos());
            }
        }
        mReplication.append(proposals, step);
    }

    private void startReads(Step step) {
        if (mBarriers.hasNew() && mReplication.isTermCommitted()) {
            mBarriers.startRound(step);
            mReplication.heartbeat(step);
            mBarriers.answered(mReplication.quorumAnsweredNanos(step.nowNanos()), step);
        }
    }

    /** Takes a replica's question. */
    void receive(RaftMessage.ReadRequest request, org.coltsfootproxy.base.HostId from, Step step) {
        if (mReplication.isTermCommitted()) {
            mBarriers.startRound(from, request.number(), step);
            mReplication.heartbeat(step);
        } else {
            mBarriers.answer(from, request.number(), false, 0, step);
        }
    }

    /** Begins to hand over to the voter that is furthest; tells whether there is one. */
    boolean handOver(Step step) {
        long deadline = step.nowNanos() + mGroup.settings().electionTimeoutNanos();
        mHandover = bestVoter().map(target -> new Handover(target, deadline));
        return mHandover.isPresent();
    }

    private Optional<Member> bestVoter() {
        return mGroup.members().voters().stream()
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
                        && mGroup.journal().isIdle()
                        && mGroup.commitIndex() == last
                        && matchIndex(handover.target()) == last;
        if (ready) {
            askToTakeOver(handover.target(), step);
            return true;
        }
        if (step.nowNanos() >= handover.deadlineNanos()) {
            mHandover = Optional.empty();
        } else if (mayAppend() && mProposals.isReady()) {
            append(mProposals.take(mGroup.settings().maxAppendBytes()), step);
        }
        return false;
    }

    /** Asks a member to take over; from here on this host must not lead in this term. */
    private void askToTakeOver(Member target, Step step) {
        step.send(
                target.host(),
                new RaftMessage.TakeOver(
                        mGroup.number(),
                        mGroup.incarnation(),
                        mGroup.term(),
                        target.incarnation()));
        mGroup.log(step, EventCode.LEADERSHIP_GIVEN_UP, "to " + target);
    }

    /** Fails everything that waits on this leader. */
    void end(Step step) {
        mProposals.failAll(ErrorKind.NO_LEADER);
        mBarriers.steppedDown(step);
        mChanges.steppedDown();
    }

    /** Returns what operators are shown of the other members. */
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
