package org.coltsfootproxy.consensus;

import org.coltsfootproxy.base.Member;

/**
 * A leadership transfer in progress, which waits until the target has the complete log.
 *
 * @param deadlineNanos when the transfer is abandoned and the leader remains leader
 */
record Handover(Member target, long deadlineNanos) {}
