package org.coltsfootproxy.consensus;

import java.util.Optional;
import java.util.Set;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Member;

/**
 * Decides the next change of members, of which at most one is under way at any moment.
 *
 * <p>A joining member learns first. Once it has caught up, a former life of the same host leaves,
 * and then it votes: each step changes at most one voter, so that the quorums before and after
 * always share a member.
 */
final class MemberChanges {
    /** A member list to put into the log, and who waits for it. */
    record Next(Members members, Optional<Proposer.Completion> done) {}

    private record Asked(MemberChange change, Proposer.Completion done) {}

    private final Group mGroup;
    private final Newcomers mNewcomers;
    private Optional<Asked> mAsked = Optional.empty();

    MemberChanges(Group group) {
        mGroup = group;
        mNewcomers = new Newcomers(group);
    }

    /** Notes that a host without state asks to join; tells whether that is new. */
    boolean joining(Member member, long nowNanos) {
        return mNewcomers.asked(member, nowNanos);
    }

    /** Names the hosts that are to leave. */
    void retire(Set<HostId> hosts) {
        mNewcomers.retire(hosts);
    }

    /** Takes an operator's wish; one may wait at a time. */
    void ask(MemberChange change, Proposer.Completion done) {
        if (mAsked.isPresent()) {
            done.failed(ErrorKind.OVERLOADED);
        } else {
            mAsked = Optional.of(new Asked(change, done));
        }
    }

    /** Fails what waits because this host no longer leads. */
    void steppedDown() {
        Optional<Asked> asked = mAsked;
        mAsked = Optional.empty();
        asked.ifPresent(wish -> wish.done().failed(ErrorKind.NO_LEADER));
    }

    /** Returns the change to make now, if any. */
    Optional<Next> next(Replication replication, long nowNanos) {
        boolean pending = mGroup.history().currentIndex() > mGroup.commitIndex();
        if (pending || !replication.isTermCommitted()) {
            return Optional.empty();
        }
        return asked(replication, nowNanos)
                .or(() -> departure())
                .or(() -> promotion(replication, nowNanos))
                .or(() -> replacement(replication, nowNanos));
    }

    private Optional<Next> asked(Replication replication, long nowNanos) {
        Optional<Asked> asked = mAsked;
        mAsked = Optional.empty();
        return asked.flatMap(
                wish ->
                        wish.change() instanceof MemberChange.Add
                                ? add(wish)
                                : remove(wish, replication, nowNanos));
    }

    private Optional<Next> add(Asked wish) {
        HostId host = wish.change().host();
        Members members = mGroup.members();
        Optional<Member> joining = mNewcomers.life(host);
        if (joining.isEmpty() || members.contains(joining.get())) {
            boolean known = members.all().anyMatch(member -> member.host().equals(host));
            wish.done().failed(known ? ErrorKind.CONFLICT : ErrorKind.NOT_FOUND);
            return Optional.empty();
        }
        return Optional.of(new Next(members.withLearner(joining.get()), Optional.of(wish.done())));
    }

    private Optional<Next> remove(Asked wish, Replication replication, long nowNanos) {
        Members members = mGroup.members();
        HostId host = wish.change().host();
        Optional<Members> changed =
                members.learners().stream()
                        .filter(member -> member.host().equals(host))
                        .findFirst()
                        .or(() -> members.voter(host))
                        .map(members::without);
        boolean able = changed.isPresent() && canCommit(changed.get(), replication, nowNanos);
        if (!able) {
            wish.done().failed(changed.isEmpty() ? ErrorKind.NOT_FOUND : ErrorKind.CONFLICT);
            return Optional.empty();
        }
        return changed.map(left -> new Next(left, Optional.of(wish.done())));
    }

    /** Tells whether a quorum of a list was heard lately, so that the list can be committed. */
    private boolean canCommit(Members members, Replication replication, long nowNanos) {
        long limit = mGroup.settings().electionTimeoutNanos();
        return members.isQuorum(
                voter ->
                        voter.equals(mGroup.self())
                                || replication
                                        .progress(voter)
                                        .filter(p -> nowNanos - p.answeredNanos() < limit)
                                        .isPresent());
    }

    /** Goes on with a learner that has caught up. */
    /** A learner that is to leave goes at once. */
    private Optional<Next> departure() {
        Members members = mGroup.members();
        return members.learners().stream()
                .filter(learner -> mNewcomers.isRetiring(learner.host()))
                .findFirst()
                .map(members::without)
                .map(changed -> new Next(changed, Optional.empty()));
    }

    private Optional<Next> promotion(Replication replication, long nowNanos) {
        Members members = mGroup.members();
        return members.learners().stream()
                .filter(learner -> hasCaughtUp(learner, replication, nowNanos))
                .findFirst()
                .flatMap(learner -> promoted(learner, replication, nowNanos))
                .filter(changed -> canCommit(changed, replication, nowNanos))
                .map(changed -> new Next(changed, Optional.empty()));
    }

    /** A voter whose place the learner takes leaves before the learner votes. */
    private Optional<Members> promoted(Member learner, Replication replication, long nowNanos) {
        Members members = mGroup.members();
        if (mNewcomers.isSurplus(learner)) {
            return mNewcomers.lostVoter(replication, nowNanos).map(members::without);
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

    /** Lets the new life of a silent member in. */
    private Optional<Next> replacement(Replication replication, long nowNanos) {
        Members members = mGroup.members();
        return members.all()
                .flatMap(member -> mNewcomers.life(member.host()).stream())
                .filter(joining -> !members.contains(joining))
                .filter(joining -> hasSilentLife(joining.host(), replication, nowNanos))
                .findFirst()
                .or(() -> mNewcomers.admitted(replication, nowNanos))
                .map(members::withLearner)
                .map(changed -> new Next(changed, Optional.empty()));
    }

    private boolean hasSilentLife(HostId host, Replication replication, long nowNanos) {
        long limit = mGroup.settings().electionTimeoutNanos();
        Members members = mGroup.members();
        boolean learns = members.learners().stream().anyMatch(member -> member.host().equals(host));
        boolean votes = members.voter(host).isPresent();
        return (learns || votes && mGroup.settings().autoReplace())
                && members.all()
                        .filter(member -> member.host().equals(host))
                        .flatMap(member -> replication.progress(member).stream())
                        .allMatch(progress -> nowNanos - progress.answeredNanos() >= limit);
    }
}
