package org.coltsfootproxy.consensus;

import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.LongStream;
import org.coltsfootproxy.storage.FakeDisk;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Tests groups whose disks are full for a few seconds, one after another and never two at once.
 *
 * <p>{@code -Dfuzz.runs=} sets the number of seeds.
 */
public final class FullDisksInTurnTest {
    private static final long RUNS = Long.getLong("fuzz.runs", 3);

    /** Time within which a change is acknowledged once all disks have room. */
    private static final Duration ACKNOWLEDGE_LIMIT = Duration.ofSeconds(4);

    private static final Duration CATCH_UP_LIMIT = Duration.ofSeconds(20);
    private static final Duration PROPOSAL_INTERVAL = Duration.ofMillis(40);

    /** Which host's disk is full next. */
    private enum Order {
        IN_TURN,
        LEADER,
        FOLLOWER,
        RANDOM
    }

    /** What happens while a disk is full. */
    private enum Meanwhile {
        CHANGES,
        HANDOVER,
        RESTART,
        MEMBERS,
        ROOM_FOR_A_MOMENT
    }

    @DataProvider
    Object[][] cases() {
        List<Object[]> cases = new ArrayList<>();
        List<Set<FakeDisk.Refusal>> refusals =
                List.of(
                        EnumSet.noneOf(FakeDisk.Refusal.class),
                        EnumSet.of(FakeDisk.Refusal.SYNC),
                        EnumSet.of(FakeDisk.Refusal.TRUNCATE),
                        EnumSet.of(FakeDisk.Refusal.NAMES),
                        EnumSet.allOf(FakeDisk.Refusal.class));
        for (Set<FakeDisk.Refusal> refused : refusals) {
            for (Order order : Order.values()) {
                for (Meanwhile meanwhile : Meanwhile.values()) {
                    cases.add(new Object[] {refused, order, meanwhile});
                }
            }
        }
        return cases.toArray(new Object[0][]);
    }

    /** Guards against members that stay out of use after their disks have room again. */
    @Test(dataProvider = "cases")
    public void changesAreAcknowledgedOnceAllDisksHaveRoom(
            Set<FakeDisk.Refusal> refused, Order order, Meanwhile meanwhile) {
        LongStream.rangeClosed(1, RUNS)
                .forEach(
                        seed -> {
                            try {
                                run(seed, refused, order, meanwhile);
                            } catch (AssertionError | RuntimeException e) {
                                throw new AssertionError("seed " + seed, e);
                            }
                        });
    }

    private static void run(
            long seed, Set<FakeDisk.Refusal> refused, Order order, Meanwhile meanwhile) {
        int size = seed % 2 == 0 ? 5 : 3;
        RaftSettings settings =
                RaftSettings.of(TestCluster.hostNames(size))
                        .withSnapshots(1500, 90, 5, 1 << 20)
                        .withBounds(400, 3, 4000);
        TestCluster cluster = new TestCluster(seed, size, settings);
        SplittableRandom random = cluster.random();
        cluster.awaitLeader();
        for (int round = 0; round < 2 * size; round++) {
            TestHost host = next(cluster, order, round);
            host.disk().setRefusals(refused);
            host.disk().setFreeBytes(random.nextInt(3) == 0 ? 0 : random.nextInt(2_000));
            proposeFor(cluster, Duration.ofMillis(500 + random.nextInt(2_500)));
            disturb(cluster, host, meanwhile);
            proposeFor(cluster, Duration.ofMillis(500 + random.nextInt(1_500)));
            host.disk().setFreeBytes(Long.MAX_VALUE);
            startIfDown(cluster, host);
            proposeFor(cluster, Duration.ofMillis(random.nextInt(2_500)));
        }
        assertAcknowledged(cluster);
        cluster.recoverAndVerify();
        assertAllApply(cluster);
    }

    private static TestHost next(TestCluster cluster, Order order, int round) {
        SplittableRandom random = cluster.random();
        TestHost leader = cluster.awaitLeader();
        List<TestHost> hosts = cluster.hosts();
        List<TestHost> followers = hosts.stream().filter(host -> host != leader).toList();
        return switch (order) {
            case IN_TURN -> hosts.get(round % hosts.size());
            case LEADER -> leader;
            case FOLLOWER -> followers.get(random.nextInt(followers.size()));
            case RANDOM -> hosts.get(random.nextInt(hosts.size()));
        };
    }

    private static void disturb(TestCluster cluster, TestHost host, Meanwhile meanwhile) {
        switch (meanwhile) {
            case HANDOVER -> cluster.leader().ifPresent(cluster::transferLeadership);
            case RESTART -> {
                cluster.crash(host);
                proposeFor(cluster, Duration.ofMillis(300));
            }
            case MEMBERS ->
                    cluster.leader()
                            .ifPresent(
                                    leader ->
                                            cluster.changeMembers(
                                                    leader, memberChange(cluster, leader, host)));
            case ROOM_FOR_A_MOMENT -> {
                host.disk().setFreeBytes(cluster.random().nextInt(4_000));
                proposeFor(cluster, Duration.ofMillis(cluster.random().nextInt(1_500)));
                host.disk().setFreeBytes(0);
            }
            default -> {
                // Only changes are made.
            }
        }
    }

    private static MemberChange memberChange(TestCluster cluster, TestHost leader, TestHost host) {
        int voters = cluster.status(leader).members().voters().size();
        return voters == cluster.hosts().size() && host != leader
                ? new MemberChange.Remove(host.id())
                : new MemberChange.Add(host.id());
    }

    private static void startIfDown(TestCluster cluster, TestHost host) {
        if (!host.isUp()) {
            cluster.start(host);
        }
    }

    /** Proposes at the leader, if there is one, at intervals. */
    private static void proposeFor(TestCluster cluster, Duration duration) {
        long end = cluster.timeNanos() + duration.toNanos();
        while (cluster.timeNanos() < end) {
            cluster.leader().ifPresent(cluster::propose);
            cluster.run(PROPOSAL_INTERVAL);
        }
    }

    private static void assertAcknowledged(TestCluster cluster) {
        int before = cluster.oracle().acknowledgedCount();
        long end = cluster.timeNanos() + ACKNOWLEDGE_LIMIT.toNanos();
        while (cluster.oracle().acknowledgedCount() == before && cluster.timeNanos() < end) {
            proposeFor(cluster, PROPOSAL_INTERVAL);
        }
        assertTrue(
                cluster.oracle().acknowledgedCount() > before,
                "no change is acknowledged: "
                        + cluster.hosts().stream().map(cluster::status).toList());
    }

    private static void assertAllApply(TestCluster cluster) {
        long index = cluster.awaitLeader().node().appliedIndex();
        proposeFor(cluster, CATCH_UP_LIMIT);
        assertTrue(
                cluster.hosts().stream().allMatch(host -> host.node().appliedIndex() > index),
                cluster.hosts().stream().map(cluster::status).toList().toString());
    }
}
