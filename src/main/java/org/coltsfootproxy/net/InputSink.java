package org.coltsfootproxy.net;

import org.coltsfootproxy.node.Input;

/** Receives the inputs that arrive from sockets; backed by the node thread's bounded ring. */
@FunctionalInterface
public interface InputSink {
    /**
     * Adds an input without blocking. Thread-safe.
     *
     * @return false if the ring is full and the input was not added
     */
    boolean offer(Input input);
}
