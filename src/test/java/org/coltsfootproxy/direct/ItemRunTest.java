package org.coltsfootproxy.direct;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.message.LeaseRef;
import org.coltsfootproxy.message.LeasedItem;
import org.coltsfootproxy.message.PartialOutput;
import org.coltsfootproxy.work.WorkFeatures.DeclaredSizes;
import org.testng.annotations.Test;

/** Tests which batch items can be preempted for online requests. */
public final class ItemRunTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long MEAN_RUN_NANOS = 4 * SECOND;

    @Test
    public void anItemWithSlackCanBePreempted() {
        assertFalse(run(18_000).needsSlotNow(MEAN_RUN_NANOS, 0));
    }

    @Test
    public void anItemThatWouldMissItsDeadlineByWaitingKeepsItsSlot() {
        assertTrue(run(5_000).needsSlotNow(MEAN_RUN_NANOS, 0));
    }

    @Test
    public void anItemThatWillMissItsDeadlineAnywayCanBePreempted() {
        assertFalse(run(3_000).needsSlotNow(MEAN_RUN_NANOS, 0));
        assertFalse(run(18_000).needsSlotNow(MEAN_RUN_NANOS, 19 * SECOND));
    }

    @Test
    public void anItemThatWillMissItsDeadlineAnywayHasMoreSlackThanOneThatCanMeetIt() {
        assertTrue(
                run(3_000).slackNanos(MEAN_RUN_NANOS, 0)
                        > run(18_000).slackNanos(MEAN_RUN_NANOS, 0));
    }

    private static ItemRun run(long remainingMillis) {
        LeasedItem item =
                new LeasedItem(
                        new LeaseRef(1, 0, 1),
                        "north",
                        ServiceId.of("lm"),
                        true,
                        "POST",
                        "/draft",
                        15_000,
                        remainingMillis,
                        PartialOutput.NONE,
                        new byte[0],
                        null);
        ItemCall.Post call = new ItemCall.Post("/draft", List.of(), new byte[0]);
        return ItemRun.of(item, call, List.of(), DeclaredSizes.NONE, 0);
    }
}
