package org.coltsfootproxy.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** How {@link QuorumReadBatcher} treats renewals while no quorum answers. */
public final class QuorumReadBatcherTest {
    private static final long CONFIRM_NANOS = ConfigTiming.DEFAULT.confirmNanos();

    @Test
    public void aRenewalWhoseReadFailedIsConfirmedByTheNextRead() {
        Deque<QuorumRead.Callback> reads = new ArrayDeque<>();
        QuorumReadBatcher<String> batcher =
                QuorumReadBatcher.create(reads::add, ConfigTiming.DEFAULT);
        batcher.add("early");
        batcher.tick(0);
        reads.remove().failed();
        batcher.add("late");
        batcher.tick(CONFIRM_NANOS);
        reads.remove().confirmed();
        assertEquals(batcher.takeConfirmed(), List.of("early", "late"));
    }

    @Test
    public void failedReadsAreRetriedOnlyAfterTheInterval() {
        Deque<QuorumRead.Callback> reads = new ArrayDeque<>();
        QuorumReadBatcher<String> batcher =
                QuorumReadBatcher.create(reads::add, ConfigTiming.DEFAULT);
        batcher.add("early");
        batcher.tick(0);
        reads.remove().failed();
        batcher.tick(TimeUnit.MILLISECONDS.toNanos(1));
        assertTrue(reads.isEmpty());
        assertEquals(batcher.nextTickNanos(), CONFIRM_NANOS);
    }
}
