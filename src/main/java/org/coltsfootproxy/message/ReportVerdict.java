package org.coltsfootproxy.message;

/** How the job ledger handled an agent's report on a leased item. */
public enum ReportVerdict {
    /** The report was recorded. */
    RECORDED,
    /** The failed attempt was counted; the item waits for the next attempt. */
    WAITS,
    /** Another lease or an earlier report has ended the item; the report was ignored. */
    DROPPED,
    /** The job was cancelled earlier; the report was ignored. */
    CANCELLED
}
