package org.coltsfootproxy.message;

/** Where a batch job is in its life. */
public enum JobState {
    /** Its items are still being received; it does not run. */
    RECEIVING,
    /** Accepted; items run. */
    RUNNING,
    /** No item is left to run, though some may wait for an operator. */
    FINISHED,
    /** Cancelled: no item runs any more. */
    CANCELLED;

    /** Returns the name used in answers. */
    public String label() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
