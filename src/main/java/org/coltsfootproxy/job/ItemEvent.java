package org.coltsfootproxy.job;

import org.coltsfootproxy.base.StateChart;
import org.coltsfootproxy.message.ItemState;

/** Events of an item; the state chart {@code batch-item.yaml} defines their transitions. */
enum ItemEvent {
    /** A durable start allows an agent to call the target. */
    START,
    /** The target's answer was recorded, or an operator gave the result. */
    COMPLETE,
    /** The item failed and is not attempted again. */
    GIVE_UP,
    /** The item did not run, or may run again. */
    WAIT_AGAIN,
    /** The agent or the target's answer was lost, so the item may have run. */
    DOUBT,
    /** The job was cancelled. */
    CANCEL;

    static final StateChart<ItemState, ItemEvent> CHART =
            StateChart.load("batch-item", ItemState.class, ItemEvent.class);
}
