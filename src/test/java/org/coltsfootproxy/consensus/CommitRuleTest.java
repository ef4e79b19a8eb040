package org.coltsfootproxy.consensus;

import static org.testng.Assert.assertEquals;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.Member;
import org.coltsfootproxy.message.LogEntry;
import org.coltsfootproxy.message.RaftMessage;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.LogWrite;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** Tests rules of commits and votes that random faults seldom exercise. */
public final class CommitRuleTest {
    private static final Member SELF = member("a");
    private static final Member OTHER = member("b");
    private static final long LATER_NANOS = Duration.ofSeconds(10).toNanos();

    private final List<Effect> mEffects = new ArrayList<>();

    private static Member member(String host) {
        return Member.of(HostId.of(host), Incarnation.of(host.hashCode()));
    }

    private static RecoveredState recoveredState() {
        byte[] members = Members.ofVoters(List.of(SELF, OTHER, member("c"))).encode();
        return new RecoveredState(
                new LogWrite.Vote(3, Optional.empty()),
                Optional.empty(),
                List.of(
                        LogEntry.of(1, 1, LogEntry.Kind.MEMBERS, members),
                        LogEntry.of(2, 2, LogEntry.Kind.COMMAND, new byte[0])));
    }

    @BeforeMethod
    void clearEffects() {
        mEffects.clear();
    }

    private static RaftNode started() {
        return RaftNode.create(
                RaftSettings.of(List.of(SELF.host())),
                SELF,
                0,
                recoveredState(),
                new ChecksumStateMachine(new Oracle()),
                new SplittableRandom(1),
                0);
    }

    private RaftNode elected() {
        RaftNode node = started();
        node.tick(LATER_NANOS, mEffects::add);
        vote(node, true);
        sync(node);
        vote(node, false);
        sync(node);
        return node;
    }

    private void vote(RaftNode node, boolean pre) {
        Incarnation from = OTHER.incarnation();
        RaftMessage answer = new RaftMessage.VoteAnswer(0, from, 4, pre, true);
        node.receive(OTHER.host(), answer, LATER_NANOS, mEffects::add);
    }

    private void acknowledge(RaftNode node, long index) {
        Incarnation from = OTHER.incarnation();
        RaftMessage answer = new RaftMessage.AppendAnswer(0, from, 4, true, index, LATER_NANOS);
        node.receive(OTHER.host(), answer, LATER_NANOS, mEffects::add);
    }

    private void sync(RaftNode node) {
        long token =
                mEffects.stream()
                        .filter(Effect.Persist.class::isInstance)
                        .mapToLong(effect -> ((Effect.Persist) effect).token())
                        .max()
                        .orElseThrow();
        node.persisted(token, LATER_NANOS, mEffects::add);
    }

    /**
     * A later leader may still replace an earlier term's entry, although a quorum has synced it.
     */
    @Test
    public void entriesOfEarlierTermsCommitOnlyWithOneOfTheCurrentTerm() {
        RaftNode node = elected();
        assertEquals(node.status(LATER_NANOS).state(), MemberState.LEADER);

        acknowledge(node, 2);
        assertEquals(node.status(LATER_NANOS).commitIndex(), 0);

        acknowledge(node, 3);
        assertEquals(node.status(LATER_NANOS).commitIndex(), 3);
        assertEquals(node.status(LATER_NANOS).appliedIndex(), 3);
    }

    /** A leader's lease may still rely on an answer that the host sent just before its restart. */
    @Test
    public void noVoteIsGivenForTheElectionTimeoutAfterStarting() {
        RaftNode node = started();
        RaftMessage request =
                new RaftMessage.VoteRequest(
                        0, OTHER.incarnation(), 4, SELF.incarnation(), false, false, 9, 3);

        node.receive(OTHER.host(), request, Duration.ofMillis(999).toNanos(), mEffects::add);
        assertEquals(mEffects.size(), 0, mEffects.toString());

        node.receive(OTHER.host(), request, LATER_NANOS, mEffects::add);
        sync(node);
        assertEquals(mEffects.stream().filter(Effect.Send.class::isInstance).count(), 1);
    }
}
