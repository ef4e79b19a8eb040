package org.coltsfootproxy.consensus;

import java.util.Optional;
import java.util.Set;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Member;

/**
 * Decides the next change of the member list; at most one change is uncommitted at any time.
 *
 * <p>A joining member starts as a learner. Once it has caught up, a previous incarnation of the
 * same host is removed, and then the learner becomes a voter. Each step changes at most one voter,
 * so that the quorums before and after it always overlap.
 */
final class MemberChanges {
    /** A member list to append to the log, and the completion of the request for it, if any. */
    record NextChange(Members members, Optional<Proposer.Completion> done) {}

    private record Request(MemberChange change, Proposer.Completion done) {}

    private final Group mGroup;
    private final JoinRequests mJoinRequests;
    private Optional<Request> mRequest = Optional.empty();

    MemberChanges(Group group) {
        mGroup = group;
        mJoinRequests = new JoinRequests(group);
    }

    /** Records a request to join; returns whether it is the first of this incarnation. */
    boolean recordJoinRequest(Member member, long nowNanos) {
        return mJoinRequests.recordRequest(member, nowNanos);
    }

    /** Replaces the set of hosts to remove. */
    void setRetiringHosts(Set<HostId> hosts) {
        mJoinRequests.setRetiringHosts(hosts);
    }

    /** Queues an operator's change; fails it with OVERLOADED if another is queued. */
    void submit(MemberChange change, Proposer.Completion done) {
        if (mRequest.isPresent()) {
            done.failed(ErrorKind.OVERLOADED);
        } else {
            mRequest = Optional.of(new Request(change, done));
        }
    }

    /** Fails the queued change because this host no longer leads. */
    void steppedDown() {
        Optional<Request> requested = mRequest;
        mRequest = Optional.empty();
        requested.ifPresent(request -> request.done().failed(ErrorKind.NO_LEADER));
    }

    /** Returns the change to append now, if any. */
    Optional<NextChange> next(Replication replication, long nowNanos) {
        boolean changePending = mGroup.history().currentIndex() > mGroup.commitIndex();
        if (changePending || !replication.isTermCommitted()) {
            return Optional.empty();
        }
        return requested(replication, nowNanos)
                .or(() -> learnerRemoval())
                .or(() -> surplusVoterRemoval(replication, nowNanos))
                .or(() -> promotion(replication, nowNanos))
                .or(() -> replacement(replication, nowNanos));
    }

    private Optional<NextChange> requested(Replication replication, long nowNanos) {
        Optional<Request> requested = mRequest;
        mRequest = Optional.empty();
        return requested.flatMap(
                request ->
                        request.change() instanceof MemberChange.Add
                                ? add(request)
                                : remove(request, replication, nowNanos));
    }

    private Optional<NextChange> add(Request request) {
        HostId host = request.change().host();
        Members members = mGroup.members();
        Optional<Member> joining = mJoinRequests.joiningMember(host);
        if (joining.isEmpty() || members.contains(joining.get())) {
            boolean known = members.all().anyMatch(member -> member.host().equals(host));
            request.done().failed(known ? ErrorKind.CONFLICT : ErrorKind.NOT_FOUND);
            return Optional.empty();
        }
        return Optional.of(
                new NextChange(members.withLearner(joining.get()), Optional.of(request.done())));
    }

    private Optional<NextChange> remove(Request request, Replication replication, long nowNanos) {
        Members members = mGroup.members();
        HostId host = request.change().host();
        Optional<Members> changed =
                members.learners().stream()
                        .filter(member -> member.host().equals(host))
                        .findFirst()
                        .or(() -> members.voter(host))
                        .map(members::without);
        boolean permitted =
                changed.isPresent() && hasRespondingQuorum(changed.get(), replication, nowNanos);
        if (!permitted) {
            request.done().failed(changed.isEmpty() ? ErrorKind.NOT_FOUND : ErrorKind.CONFLICT);
            return Optional.empty();
        }
        return changed.map(remaining -> new NextChange(remaining, Optional.of(request.done())));
    }

    /** Returns whether a quorum of a list answered recently, so that the list can be committed. */
    private boolean hasRespondingQuorum(Members members, Replication replication, long nowNanos) {
        long limit = mGroup.settings().electionTimeoutNanos();
        return members.isQuorum(
                voter ->
                        voter.equals(mGroup.self())
                                || replication
                                        .progress(voter)
                                        .filter(p -> nowNanos - p.answeredNanos() < limit)
                                        .isPresent());
    }

    private boolean isResponding(Member member, Replication replication, long nowNanos) {
        long limit = mGroup.settings().electionTimeoutNanos();
        return replication
                .progress(member)
                .filter(progress -> nowNanos - progress.answeredNanos() < limit)
                .isPresent();
    }

    /** Removes a learner whose host is to be removed. */
    private Optional<NextChange> learnerRemoval() {
        Members members = mGroup.members();
        return members.learners().stream()
                .filter(learner -> mJoinRequests.isRetiring(learner.host()))
                .findFirst()
                .map(members::without)
                .map(changed -> new NextChange(changed, Optional.empty()));
    }

    /** Removes a voter whose successor votes already. */
    private Optional<NextChange> surplusVoterRemoval(Replication replication, long nowNanos) {
        Members members = mGroup.members();
        int wanted = mGroup.settings().wantedVoters();
        return Optional.of(members)
                .filter(m -> mJoinRequests.hasRetiring())
                .filter(m -> wanted > 0 && m.voters().size() > wanted)
                .flatMap(m -> mJoinRequests.replaceableVoter(replication, nowNanos))
                .map(members::without)
                .filter(changed -> hasRespondingQuorum(changed, replication, nowNanos))
                .map(changed -> new NextChange(changed, Optional.empty()));
    }

    /** Returns the next step towards the promotion of a learner that has caught up. */
    private Optional<NextChange> promotion(Replication replication, long nowNanos) {
        Members members = mGroup.members();
        return members.learners().stream()
                .filter(learner -> hasCaughtUp(learner, replication, nowNanos))
                .findFirst()
                .flatMap(learner -> membersAfterPromotionStep(learner, replication, nowNanos))
                .filter(changed -> hasRespondingQuorum(changed, replication, nowNanos))
                .map(changed -> new NextChange(changed, Optional.empty()));
    }

    /** Returns the list without the voter that the learner replaces, or else with its promotion. */
    private Optional<Members> membersAfterPromotionStep(
            Member learner, Replication replication, long nowNanos) {
        Members members = mGroup.members();
        if (mJoinRequests.isSurplus(learner)) {
            Optional<Members> withSuccessor =
                    mJoinRequests
                            .replaceableVoter(replication, nowNanos)
                            .filter(voter -> mJoinRequests.isRetiring(voter.host()))
                            .filter(voter -> isResponding(voter, replication, nowNanos))
                            .filter(
                                    v ->
                                            members.voters().size()
                                                    == mGroup.settings().wantedVoters())
                            .map(voter -> members.withVoter(learner));
            if (withSuccessor.isPresent()) {
                // With one voter fewer for a moment, two losses at that moment could not be borne.
                return withSuccessor;
            }
            return mJoinRequests.replaceableVoter(replication, nowNanos).map(members::without);
        }
        return Optional.of(
                members.voter(learner.host())
                        .map(members::without)
                        .orElseGet(() -> members.withVoter(learner)));
    }

    private boolean hasCaughtUp(Member learner, Replication replication, long nowNanos) {
        long limit = mGroup.settings().electionTimeoutNanos();
        return replication
                .progress(learner)
                .filter(progress -> nowNanos - progress.answeredNanos() < limit)
                .filter(p -> p.hasCaughtUp(mGroup.log().lastIndex(), nowNanos, limit))
                .isPresent();
    }

    /** Adds the new incarnation of a silent member, or else another host that asks to join. */
    private Optional<NextChange> replacement(Replication replication, long nowNanos) {
        Members members = mGroup.members();
        return members.all()
                .flatMap(member -> mJoinRequests.joiningMember(member.host()).stream())
                .filter(joining -> !members.contains(joining))
                .filter(joining -> isReplaceableAndSilent(joining.host(), replication, nowNanos))
                .findFirst()
                .or(() -> mJoinRequests.nextToAdmit(replication, nowNanos))
                .map(members::withLearner)
                .map(changed -> new NextChange(changed, Optional.empty()));
    }

    private boolean isReplaceableAndSilent(HostId host, Replication replication, long nowNanos) {
        long limit = mGroup.settings().electionTimeoutNanos();
        Members members = mGroup.members();
        boolean hasLearner =
                members.learners().stream().anyMatch(member -> member.host().equals(host));
        boolean hasVoter = members.voter(host).isPresent();
        return (hasLearner || hasVoter && mGroup.settings().autoReplace())
                && members.all()
                        .filter(member -> member.host().equals(host))
                        .flatMap(member -> replication.progress(member).stream())
                        .allMatch(progress -> nowNanos - progress.answeredNanos() >= limit);
    }
}
