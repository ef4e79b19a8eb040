package org.coltsfootproxy.consensus;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.message.RaftMessage;
import org.coltsfootproxy.node.Node;

/**
 * Linearizable reads: each must see everything acknowledged before it began.
 *
 * <p>The leader records its commit index and waits until a quorum has answered a message sent
 * afterwards, which confirms that it was still the leader. A replica asks the leader for this
 * confirmed index. Both complete the read once the index is applied locally.
 */
final class ReadBarriers {
    private static final byte[] NO_RESULT = new byte[0];

    private record Round(
            long startNanos,
            long index,
            List<Proposer.Completion> local,
            Optional<HostId> replica,
            long number) {}

    private record AwaitingApply(long index, Proposer.Completion done) {}

    private final Group mGroup;
    private final List<Proposer.Completion> mNewReads = new ArrayList<>();
    private final Deque<Round> mRounds = new ArrayDeque<>();
    private final List<AwaitingApply> mAwaitingApply = new ArrayList<>();
    private final List<Proposer.Completion> mAwaitingAnswer = new ArrayList<>();

    /**
     * Number of the latest request to the leader. Starts at a random value so that late answers to
     * requests from before a restart of the process don't match.
     */
    private long mRequestNumber;

    private long mAnswerDeadlineNanos = Node.NEVER;

    ReadBarriers(Group group) {
        mGroup = group;
        mRequestNumber = group.random().nextLong();
    }

    void add(Proposer.Completion done) {
        mNewReads.add(done);
    }

    /** Returns whether reads wait for {@link #startRound} or {@link #requestCommitIndex}. */
    boolean hasNewReads() {
        return !mNewReads.isEmpty();
    }

    boolean isAwaitingAnswer() {
        return !mAwaitingAnswer.isEmpty();
    }

    /** Returns when reads that wait for the leader's answer fail. */
    long deadlineNanos() {
        return mAnswerDeadlineNanos;
    }

    /**
     * On the leader: begins a round for all new local reads. The caller must send heartbeats
     * afterwards.
     */
    void startRound(Step step) {
        List<Proposer.Completion> local = List.copyOf(mNewReads);
        mNewReads.clear();
        mRounds.add(new Round(step.nowNanos(), mGroup.commitIndex(), local, Optional.empty(), 0));
    }

    /** On the leader: begins a round for a replica's request. */
    void startRound(HostId replica, long number, Step step) {
        mRounds.add(
                new Round(
                        step.nowNanos(),
                        mGroup.commitIndex(),
                        List.of(),
                        Optional.of(replica),
                        number));
    }

    /**
     * On the leader: ends the rounds that began no later than {@code answeredNanos}, the send time
     * of messages that a quorum has answered.
     */
    void answered(long answeredNanos, Step step) {
        while (!mRounds.isEmpty() && mRounds.peek().startNanos() <= answeredNanos) {
            Round round = mRounds.poll();
            round.local()
                    .forEach(done -> mAwaitingApply.add(new AwaitingApply(round.index(), done)));
            round.replica().ifPresent(to -> answer(to, round.number(), true, round.index(), step));
        }
    }

    /** Answers a replica's request. */
    void answer(HostId to, long number, boolean confirmed, long index, Step step) {
        step.send(
                to,
                new RaftMessage.ReadAnswer(
                        mGroup.number(),
                        mGroup.incarnation(),
                        mGroup.term(),
                        number,
                        confirmed,
                        index));
    }

    /**
     * On a replica: requests the leader's commit index once for all new reads; fails them without a
     * leader.
     */
    void requestCommitIndex(Step step) {
        Optional<HostId> leader = mGroup.leader();
        if (leader.isEmpty()) {
            fail(mNewReads);
            return;
        }
        mAwaitingAnswer.addAll(mNewReads);
        mNewReads.clear();
        mRequestNumber++;
        mAnswerDeadlineNanos = step.nowNanos() + mGroup.settings().electionTimeoutNanos();
        step.send(
                leader.get(),
                new RaftMessage.ReadRequest(
                        mGroup.number(), mGroup.incarnation(), mGroup.term(), mRequestNumber));
    }

    /** On a replica: handles the leader's answer. */
    void receive(RaftMessage.ReadAnswer answer) {
        if (answer.number() != mRequestNumber || mAwaitingAnswer.isEmpty()) {
            return;
        }
        mAnswerDeadlineNanos = Node.NEVER;
        if (!answer.confirmed()) {
            fail(mAwaitingAnswer);
            return;
        }
        mAwaitingAnswer.forEach(
                done -> mAwaitingApply.add(new AwaitingApply(answer.index(), done)));
        mAwaitingAnswer.clear();
    }

    /** Fails the reads whose request was not answered in time. */
    void tick(Step step) {
        if (step.nowNanos() >= mAnswerDeadlineNanos) {
            mAnswerDeadlineNanos = Node.NEVER;
            fail(mAwaitingAnswer);
        }
    }

    /** Completes the reads whose index is at most {@code index}, the last one applied. */
    void applied(long index) {
        List<AwaitingApply> applied =
                mAwaitingApply.stream().filter(waiting -> waiting.index() <= index).toList();
        mAwaitingApply.removeAll(applied);
        applied.forEach(waiting -> waiting.done().committed(index, NO_RESULT));
    }

    /** Fails all reads, local and of replicas, when this leader steps down. */
    void steppedDown(Step step) {
        List<Round> rounds = List.copyOf(mRounds);
        mRounds.clear();
        fail(mNewReads);
        rounds.forEach(round -> fail(new ArrayList<>(round.local())));
        rounds.forEach(
                round ->
                        round.replica()
                                .ifPresent(to -> answer(to, round.number(), false, 0, step)));
    }

    private static void fail(List<Proposer.Completion> reads) {
        List<Proposer.Completion> failed = List.copyOf(reads);
        reads.clear();
        failed.forEach(done -> done.failed(ErrorKind.NO_LEADER));
    }
}
