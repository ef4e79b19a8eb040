package org.coltsfootproxy.routing;

/** How a request sent to an agent ended. */
public enum Outcome {
    /** The agent returned a complete answer. */
    ANSWERED,
    /** The agent or its target failed, stopped responding or cut off the answer. */
    FAILED,
    /** The agent was overloaded or draining and refused the request, which did not run. */
    REFUSED,
    /** The caller cancelled; this says nothing about the agent. */
    CANCELLED
}
