package org.coltsfootproxy.routing;

/** How a request sent to an agent ended. */
public enum Outcome {
    /** A whole answer came. */
    ANSWERED,
    /** The agent or its target failed, went silent or cut the answer. */
    FAILED,
    /** The agent refused it as overloaded or draining; it did not run. */
    REFUSED,
    /** The caller gave up; tells nothing about the agent. */
    CANCELLED
}
