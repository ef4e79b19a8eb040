package org.coltsfootproxy.consensus;

import org.coltsfootproxy.base.Member;

/**
 * A planned change of leaders that waits until the next one has everything.
 *
 * @param deadlineNanos when the leader gives up waiting and goes on leading
 */
record Handover(Member target, long deadlineNanos) {}
