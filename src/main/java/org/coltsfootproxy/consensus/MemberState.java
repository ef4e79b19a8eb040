package org.coltsfootproxy.consensus;

/** What a member of a group does at the moment. */
public enum MemberState {
    /** It has no state and asks the other hosts for theirs. */
    BLANK,
    /** It follows a leader or waits for one. */
    FOLLOWER,
    /** It asks whether it would be elected. */
    PRE_CANDIDATE,
    /** It asks for votes. */
    CANDIDATE,
    /** It leads. */
    LEADER,
    /** Its disk failed; it takes no part until the process is restarted. */
    HALTED
}
