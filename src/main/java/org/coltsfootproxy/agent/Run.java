package org.coltsfootproxy.agent;

import org.coltsfootproxy.admission.Shed;
import org.coltsfootproxy.admission.Work;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Input;

/** An online request or a batch item that is to run at the target. */
interface Run {
    /** Returns the description of this run for the admission queue. */
    Work work();

    /** Notes that the run starts now and returns the call to send to the target. */
    Effect.TargetCall start(long nowNanos, Effects out);

    /** Handles the head of the answer. */
    void head(Input.TargetHead head, long nowNanos, Effects out);

    /** Handles a chunk of the answer. */
    void chunk(Input.TargetChunk chunk, long nowNanos, Effects out);

    /** Handles the end of a complete answer. */
    void completed(long nowNanos, Effects out);

    /** Handles the end of a call without a complete answer. */
    void failed(Input.TargetFailed failure, long nowNanos, Effects out);

    /** Handles the removal from the queue before the run started. */
    void shed(Shed shed, long nowNanos, Effects out);

    /** Returns whether the run may safely be stopped at the target and run again later. */
    boolean isStoppable();

    /** Handles a stop at the target in favour of online requests. */
    void stopped(long nowNanos, Effects out);
}
