package org.coltsfootproxy.message;

/** State of a batch job. */
public enum JobState {
    /** Items are still being received; none runs yet. */
    RECEIVING,
    /** Accepted; items run. */
    RUNNING,
    /** No item is left to run, though some may need an operator's decision. */
    FINISHED,
    /** Cancelled; no further item is started. */
    CANCELLED;

    /** Returns the name that answers carry: lower case. */
    public String label() {
        return name().toLowerCase(java.util.Locale.ROOT);
    }
}
