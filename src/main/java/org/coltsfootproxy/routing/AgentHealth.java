package org.coltsfootproxy.routing;

import org.coltsfootproxy.base.StateChart;

/** An agent's state in outlier detection at one entry, as defined by the chart {@code target}. */
enum AgentHealth {
    /** The agent is chosen normally. */
    TRUSTED,
    /** The agent failed too often and is ejected; after a while one request may probe it. */
    SET_ASIDE,
    /** One probe request is in flight at the agent; its outcome decides the next state. */
    PROBING;

    /** The state chart of the transitions. */
    static final StateChart<AgentHealth, Event> CHART =
            StateChart.load("target", AgentHealth.class, Event.class);

    /** An event that may change the state. */
    enum Event {
        /** Several consecutive requests failed, or a probe failed. */
        FAILED_TOO_OFTEN,
        /** A probe request is sent after the ejection. */
        PROBE,
        /** The agent returned a complete answer. */
        ANSWERED,
        /** A single request failed, or ended in a way that says nothing about the agent. */
        INCONCLUSIVE
    }

    AgentHealth after(Event event) {
        return CHART.next(this, event);
    }
}
