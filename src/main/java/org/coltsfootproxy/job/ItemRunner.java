package org.coltsfootproxy.job;

import org.coltsfootproxy.message.LeaseRef;
import org.coltsfootproxy.message.LeasedItem;
import org.coltsfootproxy.node.Effects;

/** Runs batch items at the target on behalf of an {@link ItemPuller}. */
public interface ItemRunner {
    /**
     * Calls the target for an item now; takes one of the idle slots.
     *
     * <p>The end is told by {@link ItemPuller#ended}, exactly once unless the item is stopped.
     */
    void run(LeasedItem item, long nowNanos, Effects out);

    /** Gives up a running item whose result is of no use any more; no end is told for it. */
    void stop(LeaseRef lease, long nowNanos, Effects out);
}
