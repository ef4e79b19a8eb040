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
 * Reads that must see everything acknowledged before they began.
 *
 * <p>The leader notes its commit index and waits until a quorum has answered a message that it sent
 * afterwards; a replica asks the leader for that index. Either waits until it has applied the
 * index.
 */
final class ReadBarriers {
    private static final byte[] NO_RESULT = new byte[0];

    private record Round(
            long atNanos,
            long index,
            List<Proposer.Completion> local,
            Optional<HostId> asker,
            long number) {}

    private record Ready(long index, Proposer.Completion done) {}

    private final Group mGroup;
    private final List<Proposer.Completion> mNew = new ArrayList<>();
    private final Deque<Round> mRounds = new ArrayDeque<>();
    private final List<Ready> mReady = new ArrayList<>();
    private final List<Proposer.Completion> mAsked = new ArrayList<>();

    /** Random at the start, so that late answers to a former life of the process don't match. */
    private long mNumber;

    private long mAskedUntilNanos = Node.NEVER;

    ReadBarriers(Group group) {
        mGroup = group;
        mNumber = group.random().nextLong();
    }

    void add(Proposer.Completion done) {
        mNew.add(done);
    }

    /** Tells whether {@link #startRound} or {@link #ask} has something to do. */
    boolean hasNew() {
        return !mNew.isEmpty();
    }

    boolean hasAsked() {
        return !mAsked.isEmpty();
    }

    /** Returns when an unanswered question fails. */
    long deadlineNanos() {
        return mAskedUntilNanos;
    }

    /** On the leader: begins a round for all new reads; the caller sends heartbeats now. */
    void startRound(Step step) {
        List<Proposer.Completion> local = List.copyOf(mNew);
        mNew.clear();
        mRounds.add(new Round(step.nowNanos(), mGroup.commitIndex(), local, Optional.empty(), 0));
    }

    /** On the leader: begins a round for a replica. */
    void startRound(HostId asker, long number, Step step) {
        mRounds.add(
                new Round(
                        step.nowNanos(),
                        mGroup.commitIndex(),
                        List.of(),
                        Optional.of(asker),
                        number));
    }

    /** On the leader: ends the rounds that began by {@code answeredNanos}. */
    void answered(long answeredNanos, Step step) {
        while (!mRounds.isEmpty() && mRounds.peek().atNanos() <= answeredNanos) {
            Round round = mRounds.poll();
            round.local().forEach(done -> mReady.add(new Ready(round.index(), done)));
            round.asker().ifPresent(to -> answer(to, round.number(), true, round.index(), step));
        }
    }

    /** Answers a replica's question. */
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

    /** On a replica: asks the leader on behalf of all new reads; fails them if there is none. */
    void ask(Step step) {
        Optional<HostId> leader = mGroup.leader();
        if (leader.isEmpty()) {
            fail(mNew);
            return;
        }
        mAsked.addAll(mNew);
        mNew.clear();
        mNumber++;
        mAskedUntilNanos = step.nowNanos() + mGroup.settings().electionTimeoutNanos();
        step.send(
                leader.get(),
                new RaftMessage.ReadRequest(
                        mGroup.number(), mGroup.incarnation(), mGroup.term(), mNumber));
    }

    /** On a replica: takes the leader's answer. */
    void receive(RaftMessage.ReadAnswer answer) {
        if (answer.number() != mNumber || mAsked.isEmpty()) {
            return;
        }
        mAskedUntilNanos = Node.NEVER;
        if (!answer.confirmed()) {
            fail(mAsked);
            return;
        }
        mAsked.forEach(done -> mReady.add(new Ready(answer.index(), done)));
        mAsked.clear();
    }

    /** Fails a question that was not answered in time. */
    void tick(Step step) {
        if (step.nowNanos() >= mAskedUntilNanos) {
            mAskedUntilNanos = Node.NEVER;
            fail(mAsked);
        }
    }

    /** Completes the reads whose index is applied. */
    void applied(long index) {
        List<Ready> ready = mReady.stream().filter(read -> read.index() <= index).toList();
        mReady.removeAll(ready);
        ready.forEach(read -> read.done().committed(index, NO_RESULT));
    }

    /** Fails all reads of a leader that steps down. */
    void steppedDown(Step step) {
        List<Round> rounds = List.copyOf(mRounds);
        mRounds.clear();
        fail(mNew);
        rounds.forEach(round -> fail(new ArrayList<>(round.local())));
        rounds.forEach(
                round -> round.asker().ifPresent(to -> answer(to, round.number(), false, 0, step)));
    }

    private static void fail(List<Proposer.Completion> reads) {
        List<Proposer.Completion> failed = List.copyOf(reads);
        reads.clear();
        failed.forEach(done -> done.failed(ErrorKind.NO_LEADER));
    }
}
