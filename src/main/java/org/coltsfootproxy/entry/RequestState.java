package org.coltsfootproxy.entry;

import org.coltsfootproxy.base.StateChart;

/** State of an online request at the entry, by the chart {@code request}. */
enum RequestState {
    /** Waits for a token of its organisation. */
    ADMITTING,
    /** Sent to an agent that has not acknowledged it. */
    SENT,
    /** Acknowledged by an agent. */
    RUNNING,
    /** The agent went silent before the answer began and is asked. */
    ASKING,
    /** The answer goes to the caller. */
    ANSWERING,
    /** The agent went silent in mid-answer and is asked. */
    RESUMING,
    /** Over. */
    ENDED;

    /** The chart that the states follow. */
    static final StateChart<RequestState, Event> CHART =
            StateChart.load("request", RequestState.class, Event.class);

    /** What changes the state. */
    enum Event {
        /** The request went to an agent, for the first time or again. */
        SEND,
        /** The agent says that it has the request. */
        RECEIVED,
        /** The agent said nothing in time, or its connection was lost. */
        QUIET,
        /** Status and headers came. */
        HEAD,
        /** The next piece of the answer came. */
        CHUNK,
        /** Answered, refused, cut or given up. */
        END
    }

    RequestState after(Event event) {
        return CHART.next(this, event);
    }
}
