package org.coltsfootproxy.consensus;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import org.testng.annotations.Test;

/** Tests of the log entries that are kept in memory for lagging members. */
public final class RetainedLogTest {
    private static final int COMMAND_BYTES = 2_000;
    private static final int SNAPSHOT_LOG_BYTES = 40_000;
    private static final int RETAINED_ENTRIES = 1_000;
    private static final int RETAINED_BYTES = 60_000;

    /** Entries that arrive while a snapshot is being written. */
    private static final int MAX_DURING_SNAPSHOT_BYTES = 20_000;

    private static TestCluster cluster(long seed) {
        return new TestCluster(
                seed,
                3,
                RaftSettings.of(TestCluster.hostNames(3))
                        .withSnapshots(
                                SNAPSHOT_LOG_BYTES, 4_000, RETAINED_ENTRIES, RETAINED_BYTES));
    }

    private static void commit(TestCluster cluster, int commands) {
        for (int i = 0; i < commands; i++) {
            int before = cluster.oracle().acknowledgedCount();
            cluster.propose(cluster.awaitLeader(), COMMAND_BYTES);
            cluster.runUntil(
                    Duration.ofSeconds(5), () -> cluster.oracle().acknowledgedCount() > before);
        }
    }

    /** Guards against entries filling the heap because only their number was limited. */
    @Test
    public void manyLargeCommandsLeaveABoundedNumberOfBytesInMemory() {
        TestCluster cluster = cluster(11);

        commit(cluster, 900);
        cluster.run(Duration.ofSeconds(1));

        long limit = RETAINED_BYTES + SNAPSHOT_LOG_BYTES + MAX_DURING_SNAPSHOT_BYTES;
        for (TestHost host : cluster.hosts()) {
            long bytes = host.node().logBytes();
            assertTrue(bytes <= limit, host.id() + " keeps " + bytes + " bytes");
        }
        cluster.recoverAndVerify();
    }

    /** A member that misses more than the retained bytes gets a snapshot and loses nothing. */
    @Test
    public void aMemberThatMissesMoreThanTheRetainedBytesCatchesUp() {
        TestCluster cluster = cluster(12);
        commit(cluster, 10);
        TestHost leader = cluster.awaitLeader();
        int follower = (cluster.hosts().indexOf(leader) + 1) % 3;
        cluster.isolate(follower);
        commit(cluster, 200);
        cluster.heal();

        cluster.recoverAndVerify();

        assertEquals(cluster.oracle().acknowledgedCount(), 211);
    }
}
