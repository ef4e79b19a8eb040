package org.coltsfootproxy.message;

/** An operator's decision on an item that may have run. */
public enum SettleDecision {
    /** The item did not run: run it again. */
    RUN_AGAIN,
    /** The item must not run any more and counts as failed. */
    MARK_FAILED,
    /** The item ran and has the given result. */
    MARK_DONE
}
