package org.coltsfootproxy.base;

/** Whether somebody waits for an answer now or it is due later. */
public enum TrafficClass {
    /** Somebody waits. */
    ONLINE,
    /** Due by the deadline of a batch job. */
    BATCH
}
