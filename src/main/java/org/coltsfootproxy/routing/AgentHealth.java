package org.coltsfootproxy.routing;

import org.coltsfootproxy.base.StateChart;

/** How far an entry trusts a target's agent, by the chart {@code target}. */
enum AgentHealth {
    /** It is chosen like any other. */
    TRUSTED,
    /** It failed too often and is left alone for a while; then one request may probe it. */
    SET_ASIDE,
    /** One request shows how it does. */
    PROBING;

    /** The chart that the states follow. */
    static final StateChart<AgentHealth, Event> CHART =
            StateChart.load("target", AgentHealth.class, Event.class);

    /** What changes the trust. */
    enum Event {
        /** It failed several times in a row, or a probe failed. */
        FAILED_TOO_OFTEN,
        /** A request goes to it after it was set aside. */
        PROBE,
        /** A whole answer came from it. */
        ANSWERED,
        /** A request ended in a way that tells nothing about it, or in a single failure. */
        INCONCLUSIVE
    }

    AgentHealth after(Event event) {
        return CHART.next(this, event);
    }
}
