package org.coltsfootproxy.consensus;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.ToLongFunction;
import java.util.stream.Stream;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Member;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.base.RecordCodec;
import org.coltsfootproxy.base.WireCode;

/**
 * The member list of a group; immutable.
 *
 * @param voters members that count towards quorums of acknowledgements and votes, sorted
 * @param learners members that receive the log but do not vote until they have caught up, sorted
 */
@WireCode(1)
public record Members(List<Member> voters, List<Member> learners) implements MembersRecord {
    private static final RecordCodec<MembersRecord> CODEC = RecordCodec.of(MembersRecord.class);

    /** The empty list, which a host without state starts with. */
    public static final Members NONE = new Members(List.of(), List.of());

    /** Sorts the lists and checks that no member is in both. */
    public Members {
        voters = voters.stream().sorted().distinct().toList();
        learners = learners.stream().sorted().distinct().toList();
        checkArgument(
                voters.stream().noneMatch(learners::contains),
                "one of %s is both a voter and a learner",
                voters);
    }

    /** Returns a list of voters without learners. */
    public static Members ofVoters(Collection<Member> voters) {
        return new Members(List.copyOf(voters), List.of());
    }

    /**
     * Decodes a member list.
     *
     * @throws IllegalStateException if {@code bytes} are malformed, which must not happen: entries
     *     and files are checked before they get here
     */
    static Members decode(byte[] bytes) {
        try {
            return (Members) CODEC.decode(bytes);
        } catch (ProxyException e) {
            throw new IllegalStateException("malformed member list", e);
        }
    }

    byte[] encode() {
        return CODEC.encode(this);
    }

    /** Returns the number of voters that form a quorum. */
    public int quorum() {
        return voters.size() / 2 + 1;
    }

    /** Returns the voters, followed by the learners. */
    public Stream<Member> all() {
        return Stream.concat(voters.stream(), learners.stream());
    }

    boolean contains(Member member) {
        return voters.contains(member) || learners.contains(member);
    }

    boolean isVoter(Member member) {
        return voters.contains(member);
    }

    Optional<Member> voter(HostId host) {
        return voters.stream().filter(member -> member.host().equals(host)).findFirst();
    }

    /** Returns whether the voters that satisfy {@code predicate} form a quorum. */
    boolean isQuorum(Predicate<Member> predicate) {
        return !voters.isEmpty() && voters.stream().filter(predicate).count() >= quorum();
    }

    /** Returns the highest value that a quorum of voters has reached or exceeded. */
    long quorumValue(ToLongFunction<Member> value) {
        checkArgument(!voters.isEmpty(), "no voters");
        long[] sorted = voters.stream().mapToLong(value).sorted().toArray();
        return sorted[voters.size() - quorum()];
    }

    /** Returns the list with {@code learner} added, replacing any other learner of its host. */
    Members withLearner(Member learner) {
        List<Member> others =
                learners.stream().filter(other -> !other.host().equals(learner.host())).toList();
        return new Members(voters, plus(others, learner));
    }

    /** Returns the list with {@code learner} promoted to voter. */
    Members withVoter(Member learner) {
        return new Members(plus(voters, learner), minus(learners, learner));
    }

    /** Returns the list without {@code member}. */
    Members without(Member member) {
        return new Members(minus(voters, member), minus(learners, member));
    }

    private static List<Member> plus(List<Member> members, Member member) {
        return Stream.concat(members.stream(), Stream.of(member)).toList();
    }

    private static List<Member> minus(List<Member> members, Member member) {
        return members.stream().filter(other -> !other.equals(member)).toList();
    }
}
