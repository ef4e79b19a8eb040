package org.coltsfootproxy.direct;

import org.coltsfootproxy.base.StateChart;

/** State of an online request at an entry that calls targets directly. */
enum DirectState {
    /** Waits to be admitted by its organisation's rate limit. */
    ADMITTING,
    /** Sent to a target that has not begun to answer. */
    SENT,
    /** The answer is being passed on to the caller. */
    ANSWERING,
    /** The answer was interrupted; another target was asked for the rest. */
    RESUMING,
    /** Answered, refused, aborted or given up. */
    ENDED;

    /** The allowed transitions, read from {@code charts/direct-call.yaml}. */
    static final StateChart<DirectState, Event> CHART =
            StateChart.load("direct-call", DirectState.class, Event.class);

    /** An event that changes the state. */
    enum Event {
        /** The request was sent to a target, for the first time or again. */
        SEND,
        /** Status and headers arrived. */
        HEAD,
        /** The request ended, however that came about. */
        END
    }

    DirectState after(Event event) {
        return CHART.next(this, event);
    }
}
