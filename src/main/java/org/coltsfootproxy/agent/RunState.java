package org.coltsfootproxy.agent;

import org.coltsfootproxy.base.StateChart;

/** State of a request or item at the agent, by the chart {@code run}. */
enum RunState {
    WAITING,
    RUNNING,
    ANSWERING,
    ENDED;

    /** The chart that the states follow. */
    static final StateChart<RunState, Event> CHART =
            StateChart.load("run", RunState.class, Event.class);

    /** What changes the state. */
    enum Event {
        /** It was handed to the target. */
        START,
        /** The answer began. */
        HEAD,
        /** It left the target or the queue. */
        END
    }

    RunState after(Event event) {
        return CHART.next(this, event);
    }
}
