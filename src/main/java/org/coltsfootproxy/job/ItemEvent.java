package org.coltsfootproxy.job;

import org.coltsfootproxy.base.StateChart;
import org.coltsfootproxy.message.ItemState;

/** What can happen to an item; the chart {@code batch-item.yaml} says what it leads to. */
enum ItemEvent {
    /** An agent has leave to call the target. */
    START,
    /** The target's answer was recorded, or an operator gave the result. */
    COMPLETE,
    /** No further attempt is made. */
    GIVE_UP,
    /** It did not run, or may run again. */
    WAIT_AGAIN,
    /** Its worker was lost, or the answer was. */
    DOUBT,
    /** Its job was cancelled. */
    CANCEL;

    static final StateChart<ItemState, ItemEvent> CHART =
            StateChart.load("batch-item", ItemState.class, ItemEvent.class);
}
