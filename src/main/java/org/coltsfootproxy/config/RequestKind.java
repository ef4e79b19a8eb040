package org.coltsfootproxy.config;

/** How the requests of a route are run. */
public enum RequestKind {
    /** The method decides whether a request may run more than once. */
    BY_METHOD,
    /** A second run of a request does no harm. */
    REPEATABLE,
    /** A request runs at most once. */
    ONCE,
    /** The answer is a series of events; it may be repeated only if it may be resumed. */
    STREAM,
    /** A request submits a batch job, whose items run later. */
    BATCH
}
