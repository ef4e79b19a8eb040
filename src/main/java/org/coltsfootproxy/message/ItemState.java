package org.coltsfootproxy.message;

/** State of an item of a batch job. */
public enum ItemState {
    /** Waits for its turn or, if it is repeatable, may be running under a lease. */
    WAITING,
    /** Not repeatable, and an agent has permission to call the target. */
    STARTED,
    /** Completed; the result is stored. */
    DONE,
    /** Failed for good; the last error is stored. */
    FAILED,
    /**
     * Not repeatable and may have run, as its call failed or its worker was lost: an operator has
     * to settle it.
     */
    MAY_HAVE_RUN,
    /** Its job was cancelled before the item ran. */
    CANCELLED;

    /** Returns whether the item will not run any more unless an operator decides so. */
    public boolean isEnded() {
        return this != WAITING && this != STARTED;
    }

    /** Returns the name that answers carry: lower case with hyphens. */
    public String label() {
        return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }
}
