package org.coltsfootproxy.base;

/** Whether a request is online or part of a batch job. */
public enum TrafficClass {
    /** The caller waits for the answer. */
    ONLINE,
    /** The answer is due by the deadline of a batch job. */
    BATCH
}
