package org.coltsfootproxy.consensus;

import java.time.Duration;
import java.util.Comparator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.Member;

/**
 * Records the hosts that ask to join, and selects which of them to add without an operator.
 *
 * <p>Below the wanted number of voters, every host that asks is added. At that number, a host that
 * asks replaces a voter that is to be removed or has been silent.
 */
final class JoinRequests {
    /** Silence after which a voter may be replaced; longer than a restart of a process. */
    private static final long SILENT_VOTER_NANOS = Duration.ofSeconds(3).toNanos();

    /** How long a request to join stays valid; hosts repeat it every election timeout. */
    private static final long REQUEST_VALID_NANOS = Duration.ofSeconds(3).toNanos();

    private final Group mGroup;
    private final Map<HostId, JoinRequest> mRequests = new TreeMap<>();

    private Set<HostId> mRetiring = Set.of();

    private record JoinRequest(Incarnation incarnation, long nanos) {}

    JoinRequests(Group group) {
        mGroup = group;
    }

    /** Replaces the set of hosts to remove. */
    void setRetiringHosts(Set<HostId> hosts) {
        mRetiring = Set.copyOf(hosts);
    }

    /** Returns whether any host is to be removed. */
    boolean hasRetiring() {
        return !mRetiring.isEmpty();
    }

    boolean isRetiring(HostId host) {
        return mRetiring.contains(host);
    }

    /** Records a request to join; returns whether it is the first of this incarnation. */
    boolean recordRequest(Member member, long nowNanos) {
        JoinRequest previous =
                mRequests.put(member.host(), new JoinRequest(member.incarnation(), nowNanos));
        return previous == null || !member.incarnation().equals(previous.incarnation());
    }

    /** Returns the host with the incarnation with which it last asked to join. */
    Optional<Member> joiningMember(HostId host) {
        return Optional.ofNullable(mRequests.get(host))
                .map(request -> Member.of(host, request.incarnation()));
    }

    /** Returns the next member to add as a learner, if one is needed. */
    Optional<Member> nextToAdmit(Replication replication, long nowNanos) {
        Members members = mGroup.members();
        int wanted = mGroup.settings().wantedVoters();
        boolean isBelowWanted = members.all().count() < wanted;
        boolean isNeeded =
                wanted > 0
                        && members.learners().isEmpty()
                        && (isBelowWanted || replaceableVoter(replication, nowNanos).isPresent());
        return isNeeded ? firstJoiningHost(members, nowNanos) : Optional.empty();
    }

    private Optional<Member> firstJoiningHost(Members members, long nowNanos) {
        return mRequests.entrySet().stream()
                .filter(entry -> nowNanos - entry.getValue().nanos() < REQUEST_VALID_NANOS)
                .filter(entry -> !isRetiring(entry.getKey()))
                .map(entry -> Member.of(entry.getKey(), entry.getValue().incarnation()))
                .filter(member -> members.all().noneMatch(m -> m.host().equals(member.host())))
                .findFirst();
    }

    /** Returns whether promoting a learner would exceed the wanted number of voters. */
    boolean isSurplus(Member learner) {
        int wanted = mGroup.settings().wantedVoters();
        Members members = mGroup.members();
        return wanted > 0
                && members.voters().size() >= wanted
                && members.voter(learner.host()).isEmpty();
    }

    /** Returns a voter to replace: one to be removed, or else the one silent for longest. */
    Optional<Member> replaceableVoter(Replication replication, long nowNanos) {
        return mGroup.members().voters().stream()
                .filter(voter -> !voter.equals(mGroup.self()))
                .filter(voter -> isRetiring(voter.host()))
                .findFirst()
                .or(() -> silentVoter(replication, nowNanos));
    }

    private Optional<Member> silentVoter(Replication replication, long nowNanos) {
        return mGroup.members().voters().stream()
                .filter(voter -> !voter.equals(mGroup.self()))
                .filter(voter -> replication.silenceNanos(voter, nowNanos) >= SILENT_VOTER_NANOS)
                .max(Comparator.comparingLong(v -> replication.silenceNanos(v, nowNanos)));
    }
}
