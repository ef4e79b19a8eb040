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
 * The hosts that ask to join, and which of them a group lets in without an operator.
 *
 * <p>Up to the wanted number of voters every host that asks is let in; beyond it, a host that asks
 * takes the place of a voter that has been silent.
 */
final class Newcomers {
    /** Silence after which a voter may lose its place: longer than a restart of a process. */
    private static final long LOST_NANOS = Duration.ofSeconds(3).toNanos();

    /** How long a request to join counts; hosts ask again every election timeout. */
    private static final long ASKING_NANOS = Duration.ofSeconds(3).toNanos();

    private final Group mGroup;
    private final Map<HostId, Asking> mAsking = new TreeMap<>();

    private Set<HostId> mRetiring = Set.of();

    private record Asking(Incarnation incarnation, long nanos) {}

    Newcomers(Group group) {
        mGroup = group;
    }

    /** Names the hosts that are to leave. */
    void retire(Set<HostId> hosts) {
        mRetiring = Set.copyOf(hosts);
    }

    boolean isRetiring(HostId host) {
        return mRetiring.contains(host);
    }

    /** Notes that a host without state asks to join; tells whether that is new. */
    boolean asked(Member member, long nowNanos) {
        Asking former = mAsking.put(member.host(), new Asking(member.incarnation(), nowNanos));
        return former == null || !member.incarnation().equals(former.incarnation());
    }

    /** Returns the life in which a host last asked. */
    Optional<Member> life(HostId host) {
        return Optional.ofNullable(mAsking.get(host))
                .map(asking -> Member.of(host, asking.incarnation()));
    }

    /** Returns the host to let in next. */
    Optional<Member> admitted(Replication replication, long nowNanos) {
        Members members = mGroup.members();
        int wanted = mGroup.settings().wantedVoters();
        boolean hasRoom = members.all().count() < wanted;
        boolean isNeeded =
                wanted > 0
                        && members.learners().isEmpty()
                        && (hasRoom || lostVoter(replication, nowNanos).isPresent());
        return isNeeded ? newcomer(members, nowNanos) : Optional.empty();
    }

    private Optional<Member> newcomer(Members members, long nowNanos) {
        return mAsking.entrySet().stream()
                .filter(entry -> nowNanos - entry.getValue().nanos() < ASKING_NANOS)
                .filter(entry -> !isRetiring(entry.getKey()))
                .map(entry -> Member.of(entry.getKey(), entry.getValue().incarnation()))
                .filter(member -> members.all().noneMatch(m -> m.host().equals(member.host())))
                .findFirst();
    }

    /** Tells whether a learner would be one voter too many. */
    boolean isSurplus(Member learner) {
        int wanted = mGroup.settings().wantedVoters();
        Members members = mGroup.members();
        return wanted > 0
                && members.voters().size() >= wanted
                && members.voter(learner.host()).isEmpty();
    }

    /** Returns a voter that is to leave, or the one that has been silent for long enough. */
    Optional<Member> lostVoter(Replication replication, long nowNanos) {
        return mGroup.members().voters().stream()
                .filter(voter -> !voter.equals(mGroup.self()))
                .filter(voter -> isRetiring(voter.host()))
                .findFirst()
                .or(() -> silentVoter(replication, nowNanos));
    }

    private Optional<Member> silentVoter(Replication replication, long nowNanos) {
        return mGroup.members().voters().stream()
                .filter(voter -> !voter.equals(mGroup.self()))
                .filter(voter -> replication.silenceNanos(voter, nowNanos) >= LOST_NANOS)
                .max(Comparator.comparingLong(v -> replication.silenceNanos(v, nowNanos)));
    }
}
