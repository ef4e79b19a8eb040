package org.coltsfootproxy.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.node.Effect;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests of {@link RaftNode} with chosen faults; {@link RaftFuzzTest} adds random ones. */
public final class RaftNodeTest {
    private static TestCluster cluster(long seed, int size) {
        return new TestCluster(seed, size, RaftSettings.of(TestCluster.hostNames(size)));
    }

    @DataProvider
    Object[][] sizes() {
        return new Object[][] {{1}, {3}, {5}};
    }

    @Test(dataProvider = "sizes")
    public void groupsBootstrapElectLeadersAndCommit(int size) {
        TestCluster cluster = cluster(1, size);
        for (int i = 0; i < 10; i++) {
            cluster.commitOne();
        }
        assertEquals(cluster.oracle().acknowledgedCount(), 10);
        cluster.recoverAndVerify();
    }

    @Test(dataProvider = "sizes")
    public void everythingAcknowledgedOutlivesRestartOfAllHostsAfter500Changes(int size) {
        TestCluster cluster = cluster(2, size);
        TestHost leader = cluster.awaitLeader();
        for (int i = 0; i < 500; i++) {
            cluster.propose(leader);
        }
        cluster.runUntil(Duration.ofSeconds(10), () -> cluster.oracle().acknowledgedCount() == 500);
        assertEquals(cluster.oracle().acknowledgedCount(), 500);

        cluster.hosts().forEach(cluster::crash);
        cluster.hosts().forEach(cluster::start);

        cluster.recoverAndVerify();
        assertEquals(cluster.oracle().acknowledgedCount(), 501);
    }

    @Test
    public void aFollowerReadsWhatWasAcknowledgedBefore() {
        TestCluster cluster = cluster(3, 3);
        cluster.commitOne();
        cluster.hosts().forEach(cluster::read);
        cluster.run(Duration.ofSeconds(1));
        assertEquals(cluster.confirmedReads(), 3);
        cluster.recoverAndVerify();
    }

    /** A quorum of disks is lost; the survivor continues alone and the other hosts join again. */
    @Test
    public void aSurvivorOfLostDisksContinuesWithItsOwnEntries() throws ProxyException {
        TestCluster cluster = cluster(4, 3);
        cluster.commitOne();
        cluster.run(Duration.ofSeconds(1));
        cluster.hosts().forEach(cluster::crash);
        cluster.host(1).loseDisk();
        cluster.host(2).loseDisk();
        cluster.host(0)
                .writeWhileStopped(
                        store ->
                                SurvivorRecovery.soleVoter(
                                        store.recovered(), cluster.host(0).member()));

        cluster.hosts().forEach(cluster::start);

        cluster.recoverAndVerify();
        assertEquals(cluster.oracle().acknowledgedCount(), 2);
    }

    /** Proposals beyond the limit of the queue are refused and never applied. */
    @Test
    public void proposalsBeyondTheQueueLimitAreRefusedAndNeverApplied() {
        RaftSettings settings = RaftSettings.of(TestCluster.hostNames(3)).withBounds(200, 2, 300);
        TestCluster cluster = new TestCluster(5, 3, settings);
        TestHost leader = cluster.awaitLeader();
        for (int i = 0; i < 100; i++) {
            cluster.propose(leader);
        }
        cluster.run(Duration.ofSeconds(2));
        int accepted = cluster.oracle().acknowledgedCount();
        assertTrue(accepted > 0 && accepted < 100, accepted + " accepted");
        cluster.recoverAndVerify();
    }

    @Test
    public void anIsolatedLeaderStopsBeforeAnotherIsElected() {
        TestCluster cluster = cluster(6, 3);
        cluster.commitOne();
        TestHost old = cluster.awaitLeader();
        cluster.isolate(cluster.hosts().indexOf(old));
        cluster.read(old);
        cluster.run(Duration.ofSeconds(4));

        assertEquals(cluster.confirmedReads(), 0, "a read was confirmed without a quorum");
        assertTrue(cluster.status(old).leader().isEmpty(), cluster.status(old).toString());
        assertTrue(cluster.awaitLeader() != old);
        cluster.recoverAndVerify();
    }

    /** With automatic replacement off, a host with an empty disk waits for the operator. */
    @Test
    public void anEmptyDiskWaitsForTheOperatorUnlessReplacementIsAutomatic() {
        RaftSettings settings = RaftSettings.of(TestCluster.hostNames(3)).withAutoReplace(false);
        TestCluster cluster = new TestCluster(7, 3, settings);
        cluster.commitOne();
        TestHost leader = cluster.awaitLeader();
        TestHost lost = cluster.host((cluster.hosts().indexOf(leader) + 1) % 3);
        cluster.replaceDiskLater(lost);
        cluster.run(Duration.ofSeconds(10));
        Members before = cluster.status(leader).members();
        assertTrue(before.all().noneMatch(lost.member()::equals), before.toString());

        cluster.changeMembers(leader, new MemberChange.Add(lost.id()));
        cluster.run(Duration.ofSeconds(10));

        assertTrue(cluster.status(leader).members().isVoter(lost.member()));
        cluster.recoverAndVerify();
    }

    @Test
    public void aHostWhoseDiskFailsHalts() {
        TestCluster cluster = cluster(8, 3);
        cluster.commitOne();
        TestHost leader = cluster.awaitLeader();
        leader.disk().setFailing(true);
        cluster.propose(leader);
        cluster.run(Duration.ofSeconds(4));

        assertEquals(cluster.status(leader).state(), MemberState.HALTED);
        cluster.crash(leader);
        leader.disk().setFailing(false);
        cluster.recoverAndVerify();
    }

    @Test
    public void aHostThatWasNotAmongTheFoundersIsAddedByTheOperator() {
        TestCluster cluster = cluster(9, 3);
        cluster.commitOne();
        TestHost added = cluster.addHost("control-9");
        cluster.run(Duration.ofSeconds(3));
        cluster.changeMembers(cluster.awaitLeader(), new MemberChange.Add(added.id()));
        cluster.run(Duration.ofSeconds(5));

        assertTrue(cluster.status(cluster.awaitLeader()).members().isVoter(added.member()));
        cluster.recoverAndVerify();
    }

    /** Followers that answer but never sync must not let the leader's log grow without limit. */
    @Test
    public void theLeaderLimitsUncommittedEntriesOfSlowFollowers() {
        RaftSettings settings = RaftSettings.of(TestCluster.hostNames(3)).withBounds(400, 2, 2000);
        TestCluster cluster = new TestCluster(10, 3, settings);
        cluster.commitOne();
        TestHost leader = cluster.awaitLeader();
        cluster.setObserver((host, effect) -> host != leader && effect instanceof Effect.Persist);
        for (int i = 0; i < 200; i++) {
            cluster.propose(leader);
            cluster.run(Duration.ofMillis(20));
        }

        RaftStatus status = cluster.status(leader);
        long uncommitted = status.lastIndex() - status.commitIndex();
        assertEquals(status.state(), MemberState.LEADER);
        assertTrue(uncommitted > 10 && uncommitted < 50, uncommitted + " entries are uncommitted");
        cluster.setObserver((host, effect) -> false);
        cluster.hosts().stream().filter(host -> host != leader).forEach(cluster::crash);
        cluster.recoverAndVerify();
    }
}
