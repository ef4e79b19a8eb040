package org.coltsfootproxy.consensus;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Member;
import org.coltsfootproxy.message.RaftMessage;
import org.coltsfootproxy.node.Node;

/** Decides when a member asks for votes, which candidate it votes for and whether it has won. */
final class Election {
    private final Group mGroup;
    private final Set<Member> mVotes = new HashSet<>();
    private long mDeadlineNanos;
    private boolean mLeadershipTransfer;

    Election(Group group, long nowNanos) {
        mGroup = group;
        resetDeadline(nowNanos);
        if (isSoleVoter()) {
            mDeadlineNanos = nowNanos + group.settings().electionTimeoutNanos();
        }
    }

    /**
     * Returns whether this host is the only voter, so that its first election needs no random
     * delay. It still waits for one election timeout: before a restart, this host may have extended
     * the lease of a leader that is being removed.
     */
    private boolean isSoleVoter() {
        Members members = mGroup.members();
        return members.voters().size() == 1 && members.isVoter(mGroup.self());
    }

    /** Sets the deadline to a random time between one and two election timeouts from now. */
    void resetDeadline(long nowNanos) {
        long timeout = mGroup.settings().electionTimeoutNanos();
        mDeadlineNanos = nowNanos + timeout + mGroup.random().nextLong(timeout);
    }

    /** Returns when {@link #tick} is due, or {@link Node#NEVER} on a leader. */
    long deadlineNanos() {
        return mGroup.is(MemberState.LEADER) ? Node.NEVER : mDeadlineNanos;
    }

    /** Starts a pre-vote if the deadline has passed and this host may become leader. */
    void tick(Step step) {
        if (step.nowNanos() < mDeadlineNanos) {
            return;
        }
        resetDeadline(step.nowNanos());
        if (mGroup.isElectable() && !mGroup.writes().isDiskFull()) {
            startPreVote(step);
        }
    }

    private void startPreVote(Step step) {
        mGroup.transition(MemberEvent.ASK_FIRST);
        mGroup.setLeader(Optional.empty());
        mVotes.clear();
        if (recordVote(mGroup.self())) {
            campaign(false, step);
        } else {
            requestVotes(true, step);
        }
    }

    /** Records a vote for this host; returns whether its votes now form a quorum. */
    private boolean recordVote(Member voter) {
        mVotes.add(voter);
        return mGroup.members().isQuorum(mVotes::contains);
    }

    private void requestVotes(boolean pre, Step step) {
        RaftLog log = mGroup.log();
        mGroup.members().voters().stream()
                .filter(voter -> !voter.equals(mGroup.self()))
                .forEach(
                        voter ->
                                step.send(
                                        voter.host(),
                                        new RaftMessage.VoteRequest(
                                                mGroup.number(),
                                                mGroup.incarnation(),
                                                pre ? mGroup.term() + 1 : mGroup.term(),
                                                voter.incarnation(),
                                                pre,
                                                mLeadershipTransfer && !pre,
                                                log.lastIndex(),
                                                log.lastTerm())));
    }

    /** Starts a new term, and requests votes once the term and the vote for itself are synced. */
    void campaign(boolean transfer, Step step) {
        long term = mGroup.term() + 1;
        mLeadershipTransfer = transfer;
        mVotes.clear();
        mGroup.transition(MemberEvent.CAMPAIGN);
        mGroup.setLeader(Optional.empty());
        mGroup.setVote(term, Optional.of(mGroup.self()));
        resetDeadline(step.nowNanos());
        mGroup.writeVote(step, later -> requestVotesInTerm(term, later));
    }

    private void requestVotesInTerm(long term, Step step) {
        if (isCandidate(term)) {
            mVotes.add(mGroup.self());
            requestVotes(false, step);
        }
    }

    private boolean isCandidate(long term) {
        return mGroup.is(MemberState.CANDIDATE) && mGroup.term() == term;
    }

    /** Returns whether the synced vote for itself and the votes received form a quorum. */
    boolean isWon() {
        return mGroup.is(MemberState.CANDIDATE) && mGroup.members().isQuorum(mVotes::contains);
    }

    /** Handles an answer of {@code voter} to a vote or pre-vote request. */
    void receive(Member voter, RaftMessage.VoteAnswer answer, Step step) {
        if (!answer.granted()) {
            return;
        }
        boolean pre = mGroup.is(MemberState.PRE_CANDIDATE) && answer.pre();
        if (pre && answer.term() == mGroup.term() + 1 && recordVote(voter)) {
            campaign(false, step);
        } else if (!answer.pre() && isCandidate(answer.term())) {
            mVotes.add(voter);
        }
    }

    /**
     * Returns whether a request must be ignored: a leader's lease may depend on this member not
     * voting, or a vote could not be stored because the disk is full.
     */
    boolean mustIgnore(RaftMessage.VoteRequest request, Step step) {
        boolean leading = mGroup.is(MemberState.LEADER);
        return mGroup.writes().isDiskFull()
                || !request.transfer() && (leading || mGroup.isVoteWithheld(step.nowNanos()));
    }

    /** Answers a pre-vote: whether a vote would be granted. Records nothing. */
    void answerPreVote(HostId from, RaftMessage.VoteRequest request, Step step) {
        boolean granted =
                request.term() > mGroup.term()
                        && mGroup.log().isUpToDate(request.lastIndex(), request.lastTerm());
        answer(from, true, granted, granted ? request.term() : mGroup.term(), step);
    }

    /** Grants or refuses a vote in the current term; a granted vote is synced before the answer. */
    void answer(Member candidate, RaftMessage.VoteRequest request, Step step) {
        HostId host = candidate.host();
        long term = mGroup.term();
        boolean mayVoteForCandidate = mGroup.vote().candidate().map(candidate::equals).orElse(true);
        boolean granted =
                request.term() == term
                        && !mGroup.is(MemberState.LEADER)
                        && mayVoteForCandidate
                        && mGroup.log().isUpToDate(request.lastIndex(), request.lastTerm());
        if (granted) {
            mGroup.transition(MemberEvent.FOLLOW);
            mGroup.setVote(term, Optional.of(candidate));
            resetDeadline(step.nowNanos());
            mGroup.writeVote(step, later -> answer(host, false, true, term, later));
        } else if (mGroup.writes().syncedTerm() >= term) {
            answer(host, false, false, term, step);
        }
    }

    private void answer(HostId to, boolean pre, boolean granted, long term, Step step) {
        step.send(
                to,
                new RaftMessage.VoteAnswer(
                        mGroup.number(), mGroup.incarnation(), term, pre, granted));
    }
}
