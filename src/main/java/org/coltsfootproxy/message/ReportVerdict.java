package org.coltsfootproxy.message;

/** What the ledger did with an agent's report. */
public enum ReportVerdict {
    /** The report was recorded. */
    RECORDED,
    /** The attempt was counted; the item waits for another. */
    WAITS,
    /** Another lease or an earlier report has ended the item; nothing changed. */
    DROPPED,
    /** The job's cancel came first; nothing changed. */
    CANCELLED
}
