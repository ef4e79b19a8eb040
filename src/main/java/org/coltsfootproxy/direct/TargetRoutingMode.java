package org.coltsfootproxy.direct;

/** What decides which target gets an online request. */
public enum TargetRoutingMode {
    /** The number of calls at each target. */
    CALLS,
    /** The expected remaining work at each target, and the request's own. */
    EXPECTED_WORK,
    /** The expected work for services whose targets tell their speed, else the calls. */
    AUTO
}
