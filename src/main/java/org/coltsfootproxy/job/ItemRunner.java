package org.coltsfootproxy.job;

import org.coltsfootproxy.message.LeaseRef;
import org.coltsfootproxy.message.LeasedItem;
import org.coltsfootproxy.node.Effects;

/** Runs batch items at the target on behalf of an {@link ItemPuller}. */
public interface ItemRunner {
    /**
     * Calls the target for an item, using one of the idle slots.
     *
     * <p>The implementation calls {@link ItemPuller#itemEnded} exactly once when the call ends,
     * unless the item is stopped.
     */
    void run(LeasedItem item, long nowNanos, Effects out);

    /**
     * Stops a running item whose result is no longer needed. {@link ItemPuller#itemEnded} is not
     * called for it.
     */
    void stop(LeaseRef lease, long nowNanos, Effects out);
}
