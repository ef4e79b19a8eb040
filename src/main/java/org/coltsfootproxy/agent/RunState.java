package org.coltsfootproxy.agent;

import org.coltsfootproxy.base.StateChart;

/** State of an online request or batch item at the agent. */
enum RunState {
    WAITING,
    RUNNING,
    ANSWERING,
    ENDED;

    /** The allowed transitions, read from {@code charts/run.yaml}. */
    static final StateChart<RunState, Event> CHART =
            StateChart.load("run", RunState.class, Event.class);

    /** An event that changes the state. */
    enum Event {
        /** The run was sent to the target. */
        START,
        /** The head of the answer arrived. */
        HEAD,
        /** The run ended at the target, or was removed from the queue. */
        END
    }

    RunState after(Event event) {
        return CHART.next(this, event);
    }
}
