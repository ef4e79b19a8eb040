package org.coltsfootproxy.direct;

import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.message.LeaseRef;
import org.coltsfootproxy.message.LeasedItem;
import org.coltsfootproxy.message.PartialOutput;
import org.testng.annotations.Test;

/** Which batch items make room for online requests. */
public final class ItemRunTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long RUN_NANOS = 4 * SECOND;

    @Test
    public void anItemWithTimeToSpareMakesRoom() {
        assertFalse(run(18_000).needsPlace(RUN_NANOS, 0));
    }

    @Test
    public void anItemThatWouldBeLateByWaitingKeepsItsPlace() {
        assertTrue(run(5_000).needsPlace(RUN_NANOS, 0));
    }

    @Test
    public void anItemThatIsLateAllTheSameMakesRoom() {
        assertFalse(run(3_000).needsPlace(RUN_NANOS, 0));
        assertFalse(run(18_000).needsPlace(RUN_NANOS, 19 * SECOND));
    }

    @Test
    public void anItemThatIsLateAllTheSameWaitsBeforeOneThatCanBeDone() {
        assertTrue(run(3_000).spareNanos(RUN_NANOS, 0) > run(18_000).spareNanos(RUN_NANOS, 0));
    }

    private static ItemRun run(long dueMillis) {
        LeasedItem item =
                new LeasedItem(
                        new LeaseRef(1, 0, 1),
                        "north",
                        ServiceId.of("lm"),
                        true,
                        "POST",
                        "/draft",
                        15_000,
                        dueMillis,
                        PartialOutput.NONE,
                        new byte[0]);
        return ItemRun.of(item, new ItemCall.Post("/draft", List.of(), new byte[0]), 0);
    }
}
