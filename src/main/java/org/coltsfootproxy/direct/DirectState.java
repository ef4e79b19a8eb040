package org.coltsfootproxy.direct;

import org.coltsfootproxy.base.StateChart;

/** State of an online request at an entry that calls targets itself, by a chart. */
enum DirectState {
    /** Waits for a token of its organisation. */
    ADMITTING,
    /** At a target that has not begun to answer. */
    SENT,
    /** The answer goes to the caller. */
    ANSWERING,
    /** The answer broke off and goes on at another target. */
    RESUMING,
    /** Over. */
    ENDED;

    /** The chart that the states follow. */
    static final StateChart<DirectState, Event> CHART =
            StateChart.load("direct-call", DirectState.class, Event.class);

    /** What changes the state. */
    enum Event {
        /** The request went to a target, for the first time or again. */
        SEND,
        /** Status and headers came. */
        HEAD,
        /** Answered, refused, cut or given up. */
        END
    }

    DirectState after(Event event) {
        return CHART.next(this, event);
    }
}
