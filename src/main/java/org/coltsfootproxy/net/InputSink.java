package org.coltsfootproxy.net;

import org.coltsfootproxy.node.Input;

/** Where sockets put what arrived; a bounded ring before the decisions thread. */
@FunctionalInterface
public interface InputSink {
    /**
     * Adds an input without waiting. May be called by several threads at once.
     *
     * @return false if the ring is full; nothing was added then
     */
    boolean offer(Input input);
}
