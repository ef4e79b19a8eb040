package org.coltsfootproxy.consensus;

/** Events of a member of a group; the state chart {@code member} defines the transitions. */
enum MemberEvent {
    /** The store holds state at the start. */
    RECOVER,
    /**
     * The member receives a leader's message, enters a higher term, grants a vote or stops leading.
     */
    FOLLOW,
    /** The election deadline passed without a message from a leader; a pre-vote starts. */
    ASK_FIRST,
    /** The member starts a new term and stands for election in it. */
    CAMPAIGN,
    /** A quorum has voted for the member. */
    WIN,
    /** A disk write failed for another reason than a full disk. */
    DISK_FAILED
}
