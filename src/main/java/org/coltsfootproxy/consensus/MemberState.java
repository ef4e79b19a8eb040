package org.coltsfootproxy.consensus;

/** State of a member of a group. */
public enum MemberState {
    /** The member has no stored state and probes the other hosts. */
    BLANK,
    /** The member follows a leader or waits for one. */
    FOLLOWER,
    /** The member asks the voters whether they would vote for it, without starting a term. */
    PRE_CANDIDATE,
    /** The member requests votes in a new term. */
    CANDIDATE,
    /** The member leads the group. */
    LEADER,
    /** The disk failed; the member ignores all input until the process is restarted. */
    HALTED
}
