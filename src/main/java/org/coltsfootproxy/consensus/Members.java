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
 * The members of a group; immutable.
 *
 * @param voters members whose acknowledgements and votes count, sorted
 * @param learners members that only follow until they have caught up, sorted
 */
@WireCode(1)
public record Members(List<Member> voters, List<Member> learners) implements MembersRecord {
    private static final RecordCodec<MembersRecord> CODEC = RecordCodec.of(MembersRecord.class);

    /** The list without anybody, as a host without state has it. */
    public static final Members NONE = new Members(List.of(), List.of());

    /** Sorts the lists and checks that nobody is in both. */
    public Members {
        voters = voters.stream().sorted().distinct().toList();
        learners = learners.stream().sorted().distinct().toList();
        checkArgument(
                voters.stream().noneMatch(learners::contains), "%s both vote and learn", voters);
    }

    /** Returns the members of which all vote. */
    public static Members ofVoters(Collection<Member> voters) {
        return new Members(List.copyOf(voters), List.of());
    }

    /**
     * Returns the members that {@code bytes} encode.
     *
     * @throws IllegalStateException if they encode none; entries and files are checked before
     */
    static Members decode(byte[] bytes) {
        try {
            return (Members) CODEC.decode(bytes);
        } catch (ProxyException e) {
            throw new IllegalStateException("malformed member list", e);
        }
    }

    /** Returns the encoded list. */
    byte[] encode() {
        return CODEC.encode(this);
    }

    /** Returns how many voters make a quorum. */
    public int quorum() {
        return voters.size() / 2 + 1;
    }

    /** Returns voters and learners. */
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

    /** Tells whether the voters that satisfy {@code predicate} are a quorum. */
    boolean isQuorum(Predicate<Member> predicate) {
        return !voters.isEmpty() && voters.stream().filter(predicate).count() >= quorum();
    }

    /** Returns the highest value that a quorum of the voters has reached. */
    long quorumValue(ToLongFunction<Member> value) {
        checkArgument(!voters.isEmpty(), "no voters");
        long[] sorted = voters.stream().mapToLong(value).sorted().toArray();
        return sorted[voters.size() - quorum()];
    }

    /** Returns the list in which {@code learner} is its host's only learner. */
    Members withLearner(Member learner) {
        List<Member> others =
                learners.stream().filter(other -> !other.host().equals(learner.host())).toList();
        return new Members(voters, plus(others, learner));
    }

    /** Returns the list in which the learner votes. */
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
