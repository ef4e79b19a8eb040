package org.coltsfootproxy.config;

/** How often the requests of a route may run, and how they are answered. */
public enum RequestKind {
    /** The HTTP method decides whether a request may run more than once. */
    BY_METHOD,
    /** A request may run more than once without harm. */
    REPEATABLE,
    /** A request runs at most once. */
    ONCE,
    /**
     * The answer is a stream of events. A request may run again only if the stream is resumable.
     */
    STREAM,
    /** A request submits a batch job, whose items run later. */
    BATCH
}
