package org.coltsfootproxy.message;

/** How an operator settles an item that may have run. */
public enum SettleDecision {
    /** It did not run: run it. */
    RUN_AGAIN,
    /** It is not to run any more. */
    MARK_FAILED,
    /** It ran, with the given result. */
    MARK_DONE
}
