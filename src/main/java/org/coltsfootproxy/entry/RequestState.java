package org.coltsfootproxy.entry;

import org.coltsfootproxy.base.StateChart;

/** State of an online request at the entry, as defined by the state chart {@code request}. */
enum RequestState {
    /** Waits for the limiter's decision on its organisation's rate. */
    ADMITTING,
    /** Forwarded to an agent that has not acknowledged it. */
    SENT,
    /** Acknowledged by an agent. */
    RUNNING,
    /** The agent stopped responding before the answer began and is asked about the request. */
    ASKING,
    /** The answer is being passed on to the caller. */
    ANSWERING,
    /** The agent stopped responding during the answer and is asked to resume it. */
    RESUMING,
    /** Answered, refused, cut or cancelled; the final state. */
    ENDED;

    /** The state chart that defines the transitions. */
    static final StateChart<RequestState, Event> CHART =
            StateChart.load("request", RequestState.class, Event.class);

    /** Events that may change the state. */
    enum Event {
        /** The request was sent to an agent, for the first time or as a retry. */
        SEND,
        /** The agent acknowledged the request. */
        RECEIVED,
        /**
         * The agent sent nothing in time, its connection was lost or a part of the answer is
         * missing.
         */
        QUIET,
        /** The status and headers of the answer arrived. */
        HEAD,
        /** The next chunk of the answer arrived. */
        CHUNK,
        /** The request was answered, refused, cut or cancelled. */
        END
    }

    RequestState after(Event event) {
        return CHART.next(this, event);
    }
}
