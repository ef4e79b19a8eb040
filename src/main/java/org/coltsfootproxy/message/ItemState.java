package org.coltsfootproxy.message;

/** Where an item of a batch job is in its life. */
public enum ItemState {
    /** Waits for its turn, or runs under a lease if it may be repeated. */
    WAITING,
    /** May not be repeated, and an agent has leave to call the target. */
    STARTED,
    /** Completed; its result is kept. */
    DONE,
    /** Will never be done; the last error is kept. */
    FAILED,
    /** May not be repeated, and its worker was lost: an operator settles it. */
    MAY_HAVE_RUN,
    /** Its job was cancelled before it ran. */
    CANCELLED;

    /** Tells whether the item will not run unless an operator says so. */
    public boolean isEnded() {
        return this != WAITING && this != STARTED;
    }

    /** Returns the name used in answers. */
    public String label() {
        return name().toLowerCase(java.util.Locale.ROOT).replace('_', '-');
    }
}
