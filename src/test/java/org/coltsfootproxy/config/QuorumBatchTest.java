package org.coltsfootproxy.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/** How {@link QuorumBatch} treats renewals while no quorum answers. */
public final class QuorumBatchTest {
    private static final long CONFIRM_NANOS = ConfigTiming.DEFAULT.confirmNanos();

    @Test
    public void aRenewalWhoseReadFailedIsConfirmedByTheNextRead() {
        Deque<QuorumRead.Done> reads = new ArrayDeque<>();
        QuorumBatch<String> batch = QuorumBatch.create(reads::add, ConfigTiming.DEFAULT);
        batch.add("early");
        batch.tick(0);
        reads.remove().failed();
        batch.add("late");
        batch.tick(CONFIRM_NANOS);
        reads.remove().confirmed();
        assertEquals(batch.takeConfirmed(), List.of("early", "late"));
    }

    @Test
    public void failedReadsAreRetriedOnlyAfterTheInterval() {
        Deque<QuorumRead.Done> reads = new ArrayDeque<>();
        QuorumBatch<String> batch = QuorumBatch.create(reads::add, ConfigTiming.DEFAULT);
        batch.add("early");
        batch.tick(0);
        reads.remove().failed();
        batch.tick(TimeUnit.MILLISECONDS.toNanos(1));
        assertTrue(reads.isEmpty());
        assertEquals(batch.nextTickNanos(), CONFIRM_NANOS);
    }
}
