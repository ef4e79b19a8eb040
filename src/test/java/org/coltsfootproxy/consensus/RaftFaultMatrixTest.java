package org.coltsfootproxy.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.Arrays;
import java.util.Iterator;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.coltsfootproxy.message.LogEntry;
import org.coltsfootproxy.message.RaftMessage;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.LogWrite;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Injects every fault at every step of bootstrap, election, append, snapshot and member change. */
public final class RaftFaultMatrixTest {
    private static final int SIZE = 5;
    private static final Duration REPAIR_LIMIT = Duration.ofSeconds(60);

    private enum FaultPoint {
        PROBE(message(RaftMessage.Probe.class, m -> true)),
        PROBE_ANSWER(message(RaftMessage.ProbeAnswer.class, m -> true)),
        PRE_VOTE(message(RaftMessage.VoteRequest.class, RaftMessage.VoteRequest::pre)),
        PRE_VOTE_ANSWER(message(RaftMessage.VoteAnswer.class, RaftMessage.VoteAnswer::pre)),
        VOTE(message(RaftMessage.VoteRequest.class, m -> !m.pre())),
        VOTE_ANSWER(message(RaftMessage.VoteAnswer.class, m -> !m.pre())),
        HEARTBEAT(message(RaftMessage.Append.class, m -> m.entries().isEmpty())),
        APPEND(message(RaftMessage.Append.class, m -> !m.entries().isEmpty())),
        APPEND_ANSWER(message(RaftMessage.AppendAnswer.class, m -> true)),
        FIRST_PIECE(message(RaftMessage.SnapshotPiece.class, m -> m.offset() == 0)),
        LATER_PIECE(message(RaftMessage.SnapshotPiece.class, m -> m.offset() > 0)),
        PIECE_ANSWER(message(RaftMessage.SnapshotAnswer.class, m -> true)),
        TIMEOUT_NOW(message(RaftMessage.TimeoutNow.class, m -> true)),
        READ(message(RaftMessage.ReadRequest.class, m -> true)),
        READ_ANSWER(message(RaftMessage.ReadAnswer.class, m -> true)),
        WRITE_VOTE(write(w -> w.vote().isPresent())),
        WRITE_ENTRIES(write(w -> hasEntry(w, LogEntry.Kind.COMMAND))),
        WRITE_MEMBERS(write(w -> hasEntry(w, LogEntry.Kind.MEMBERS))),
        WRITE_SNAPSHOT(write(w -> w.snapshot().isPresent()));

        private final Predicate<Effect> mPredicate;

        FaultPoint(Predicate<Effect> predicate) {
            mPredicate = predicate;
        }
    }

    private enum Fault {
        LOST,
        DOUBLED,
        LATE,
        CRASH_BEFORE,
        CRASH_AFTER,
        CUT_OFF,
        CUT_ONE_WAY,
        DISK_FULL,
        DISK_LOST;

        boolean appliesTo(FaultPoint point) {
            boolean message = !point.name().startsWith("WRITE");
            return message || this != LOST && this != DOUBLED && this != LATE;
        }
    }

    private static <M extends RaftMessage> Predicate<Effect> message(
            Class<M> type, Predicate<M> predicate) {
        return effect ->
                effect instanceof Effect.Send send
                        && type.isInstance(send.message())
                        && predicate.test(type.cast(send.message()));
    }

    private static Predicate<Effect> write(Predicate<LogWrite> predicate) {
        return effect ->
                effect instanceof Effect.Persist persist && predicate.test(persist.write());
    }

    private static boolean hasEntry(LogWrite write, LogEntry.Kind kind) {
        return write.entries().stream().anyMatch(entry -> entry.kind() == kind);
    }

    @DataProvider
    Iterator<Object[]> cases() {
        return Arrays.stream(FaultPoint.values())
                .flatMap(
                        point ->
                                Arrays.stream(Fault.values())
                                        .filter(fault -> fault.appliesTo(point))
                                        .flatMap(fault -> cases(point, fault)))
                .iterator();
    }

    /**
     * Returns the cases of a fault. A disk is lost only once: together with the one that the
     * scenario loses, this is as many as a group of five can lose.
     */
    private static Stream<Object[]> cases(FaultPoint point, Fault fault) {
        return fault == Fault.DISK_LOST
                ? Stream.of(new Object[] {point, fault, 1}, new Object[] {point, fault, -2})
                : Stream.of(new Object[] {point, fault, 1}, new Object[] {point, fault, 2});
    }

    /**
     * Runs a scenario with a fault.
     *
     * @param times if positive, inject the fault at the first {@code times} occurrences of the
     *     step; if negative, only at occurrence {@code -times}
     */
    @Test(dataProvider = "cases")
    public void theGroupSurvives(FaultPoint point, Fault fault, int times) {
        RaftSettings settings =
                RaftSettings.of(TestCluster.hostNames(SIZE))
                        .withSnapshots(1200, 120, 3, 1 << 20)
                        .withBounds(400, 3, 4000);
        TestCluster cluster = new TestCluster(point.ordinal() * 31L + 7, SIZE, settings);
        int[] occurrences = {0};
        cluster.setObserver(
                (host, effect) -> {
                    if (!point.mPredicate.test(effect)) {
                        return false;
                    }
                    occurrences[0]++;
                    boolean isDue = times > 0 ? occurrences[0] <= times : occurrences[0] == -times;
                    return isDue && inject(cluster, host, effect, fault);
                });
        runScenario(cluster);
        assertTrue(
                occurrences[0] >= Math.abs(times),
                "the step occurred " + occurrences[0] + " times");
    }

    /** Injects the fault; returns whether the effect is dropped. */
    private static boolean inject(TestCluster cluster, TestHost host, Effect effect, Fault fault) {
        int number = cluster.hosts().indexOf(host);
        switch (fault) {
            case DOUBLED -> cluster.sendLater(host, effect, Duration.ofMillis(20));
            case LATE -> cluster.sendLater(host, effect, Duration.ofSeconds(3));
            case CRASH_BEFORE -> cluster.restartLater(host, Duration.ZERO);
            case CRASH_AFTER -> cluster.restartLater(host, Duration.ofMillis(1));
            case CUT_OFF -> cluster.isolate(number);
            case CUT_ONE_WAY -> cluster.cut(number, (number + 1) % SIZE);
            case DISK_FULL -> host.disk().setFreeBytes(0);
            case DISK_LOST -> cluster.replaceDiskLater(host);
            default -> assertEquals(fault, Fault.LOST);
        }
        cluster.healLater(Duration.ofSeconds(5));
        return fault == Fault.LOST || fault == Fault.LATE || fault == Fault.CRASH_BEFORE;
    }

    private static void runScenario(TestCluster cluster) {
        commit(cluster, 5);
        for (int i = 0; i < 4; i++) {
            cluster.transferLeadership(cluster.awaitLeader());
            commit(cluster, 1);
        }
        crashLeader(cluster);
        changeMembers(cluster);
        loseDisk(cluster);
        loseDisk(cluster);
        cluster.recoverAndVerify();
    }

    /** Loses the disk of a follower and waits until it is a voter again. */
    private static void loseDisk(TestCluster cluster) {
        cluster.replaceDiskLater(follower(cluster));
        cluster.run(Duration.ofMillis(100));
        commit(cluster, 4);
        awaitRepair(cluster);
    }

    private static void commit(TestCluster cluster, int rounds) {
        for (int i = 0; i < rounds; i++) {
            TestHost leader = cluster.awaitLeader();
            cluster.hosts().stream().filter(TestHost::isUp).forEach(cluster::read);
            for (int j = 0; j < 6; j++) {
                cluster.propose(leader);
            }
            cluster.commitOne();
        }
    }

    private static void crashLeader(TestCluster cluster) {
        TestHost leader = cluster.awaitLeader();
        cluster.crash(leader);
        commit(cluster, 1);
        if (!leader.isUp()) {
            cluster.start(leader);
        }
    }

    private static void changeMembers(TestCluster cluster) {
        awaitRepair(cluster);
        TestHost leader = cluster.awaitLeader();
        cluster.changeMembers(leader, new MemberChange.Remove(follower(cluster).id()));
        commit(cluster, 1);
        cluster.run(Duration.ofSeconds(6));
        awaitRepair(cluster);
    }

    private static TestHost follower(TestCluster cluster) {
        TestHost leader = cluster.awaitLeader();
        return cluster.hosts().stream()
                .filter(host -> host != leader && host.isUp())
                .findFirst()
                .orElseThrow();
    }

    /** Waits until the current incarnation of every host is a voter. */
    private static void awaitRepair(TestCluster cluster) {
        assertTrue(cluster.awaitAllVoters(REPAIR_LIMIT), "not every host became a voter again");
    }
}
