package org.coltsfootproxy.consensus;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Member;
import org.coltsfootproxy.message.RaftMessage;
import org.coltsfootproxy.node.Node;

/** When a member asks for votes, whom it gives its own and when it has won. */
final class Election {
    private final Group mGroup;
    private final Set<Member> mVotes = new HashSet<>();
    private long mDeadlineNanos;
    private boolean mTransfer;

    Election(Group group, long nowNanos) {
        mGroup = group;
        resetDeadline(nowNanos);
        if (isSoleVoter()) {
            mDeadlineNanos = nowNanos + group.settings().electionTimeoutNanos();
        }
    }

    /**
     * Tells whether nobody competes. Even then a former life may have kept up the lease of a leader
     * that is on its way out, so that the election timeout must pass.
     */
    private boolean isSoleVoter() {
        Members members = mGroup.members();
        return members.voters().size() == 1 && members.isVoter(mGroup.self());
    }

    /** Waits for a random time between one and two election timeouts. */
    void resetDeadline(long nowNanos) {
        long timeout = mGroup.settings().electionTimeoutNanos();
        mDeadlineNanos = nowNanos + timeout + mGroup.random().nextLong(timeout);
    }

    /** Returns when {@link #tick} has something to do. */
    long deadlineNanos() {
        return mGroup.is(MemberState.LEADER) ? Node.NEVER : mDeadlineNanos;
    }

    /** Asks for votes if no leader was heard in time. */
    void tick(Step step) {
        if (step.nowNanos() < mDeadlineNanos) {
            return;
        }
        resetDeadline(step.nowNanos());
        if (mGroup.isElectable() && !mGroup.journal().isFull()) {
            askFirst(step);
        }
    }

    private void askFirst(Step step) {
        mGroup.on(MemberEvent.ASK_FIRST);
        mGroup.setLeader(Optional.empty());
        mVotes.clear();
        if (hasWon(mGroup.self())) {
            campaign(false, step);
        } else {
            ask(true, step);
        }
    }

    private boolean hasWon(Member voter) {
        mVotes.add(voter);
        return mGroup.members().isQuorum(mVotes::contains);
    }

    private void ask(boolean pre, Step step) {
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
                                                mTransfer && !pre,
                                                log.lastIndex(),
                                                log.lastTerm())));
    }

    /** Starts a new term and asks for votes in it once it is synced. */
    void campaign(boolean transfer, Step step) {
        long term = mGroup.term() + 1;
        mTransfer = transfer;
        mVotes.clear();
        mGroup.on(MemberEvent.CAMPAIGN);
        mGroup.setLeader(Optional.empty());
        mGroup.setVote(term, Optional.of(mGroup.self()));
        resetDeadline(step.nowNanos());
        mGroup.writeVote(step, later -> askInTerm(term, later));
    }

    private void askInTerm(long term, Step step) {
        if (isCandidate(term)) {
            mVotes.add(mGroup.self());
            ask(false, step);
        }
    }

    private boolean isCandidate(long term) {
        return mGroup.is(MemberState.CANDIDATE) && mGroup.term() == term;
    }

    /** Tells whether a synced vote for itself and the answers so far win the election. */
    boolean isWon() {
        return mGroup.is(MemberState.CANDIDATE) && mGroup.members().isQuorum(mVotes::contains);
    }

    /** Takes an answer of {@code voter}. */
    void receive(Member voter, RaftMessage.VoteAnswer answer, Step step) {
        if (!answer.granted()) {
            return;
        }
        boolean pre = mGroup.is(MemberState.PRE_CANDIDATE) && answer.pre();
        if (pre && answer.term() == mGroup.term() + 1 && hasWon(voter)) {
            campaign(false, step);
        } else if (!answer.pre() && isCandidate(answer.term())) {
            mVotes.add(voter);
        }
    }

    /** Tells whether a request must be ignored because a leader's lease may depend on it. */
    boolean isIgnored(RaftMessage.VoteRequest request, Step step) {
        boolean leads = mGroup.is(MemberState.LEADER);
        return mGroup.journal().isFull()
                || !request.transfer() && (leads || mGroup.isPromised(step.nowNanos()));
    }

    /** Answers whether a vote would be given; nothing is recorded. */
    void answerPre(HostId from, RaftMessage.VoteRequest request, Step step) {
        boolean granted =
                request.term() > mGroup.term()
                        && mGroup.log().isUpToDate(request.lastIndex(), request.lastTerm());
        answer(from, true, granted, granted ? request.term() : mGroup.term(), step);
    }

    /** Gives or refuses a vote in the current term; a given vote is synced before the answer. */
    void answer(Member candidate, RaftMessage.VoteRequest request, Step step) {
        HostId host = candidate.host();
        long term = mGroup.term();
        boolean free = mGroup.vote().candidate().map(candidate::equals).orElse(true);
        boolean granted =
                request.term() == term
                        && !mGroup.is(MemberState.LEADER)
                        && free
                        && mGroup.log().isUpToDate(request.lastIndex(), request.lastTerm());
        if (granted) {
            mGroup.on(MemberEvent.FOLLOW);
            mGroup.setVote(term, Optional.of(candidate));
            resetDeadline(step.nowNanos());
            mGroup.writeVote(step, later -> answer(host, false, true, term, later));
        } else if (mGroup.journal().syncedTerm() >= term) {
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
