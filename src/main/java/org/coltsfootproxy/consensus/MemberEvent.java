package org.coltsfootproxy.consensus;

/** What changes the state of a member; the chart {@code member} says how. */
enum MemberEvent {
    /** The store holds something. */
    RECOVER,
    /** It hears a leader, enters a higher term, gives its vote or stops leading. */
    FOLLOW,
    /** No leader was heard in time. */
    ASK_FIRST,
    /** It begins a term of its own. */
    CAMPAIGN,
    /** A quorum has voted for it. */
    WIN,
    /** The disk failed. */
    DISK_FAILED
}
