package org.coltsfootproxy.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Contract of {@link RaftNode} without faults at random. */
public final class RaftNodeTest {
    private static TestCluster cluster(long seed, int size) {
        return new TestCluster(seed, size, RaftSettings.of(TestCluster.names(size)));
    }

    @DataProvider
    Object[][] sizes() {
        return new Object[][] {{1}, {3}, {5}};
    }

    @Test(dataProvider = "sizes")
    public void groupsFoundThemselvesElectLeadersAndCommit(int size) {
        TestCluster cluster = cluster(1, size);
        for (int i = 0; i < 10; i++) {
            cluster.commitOne();
        }
        assertEquals(cluster.oracle().acknowledgedCount(), 10);
        cluster.finish();
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

        cluster.finish();
        assertEquals(cluster.oracle().acknowledgedCount(), 501);
    }

    @Test
    public void aFollowerReadsWhatWasAcknowledgedBefore() {
        TestCluster cluster = cluster(3, 3);
        cluster.commitOne();
        cluster.hosts().forEach(cluster::read);
        cluster.run(Duration.ofSeconds(1));
        cluster.finish();
        assertTrue(cluster.leader().isPresent());
    }
}
