package org.coltsfootproxy.agent;

import org.coltsfootproxy.admission.Shed;
import org.coltsfootproxy.admission.Work;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Input;

/** Something that wants the target: an online request or a batch item. */
interface Run {
    /** Returns what the queue needs to know. */
    Work work();

    /** Returns the call to hand to the target, now. */
    Effect.TargetCall start(long nowNanos, Effects out);

    /** The answer began. */
    void head(Input.TargetHead head, long nowNanos, Effects out);

    /** A piece of the answer arrived. */
    void chunk(Input.TargetChunk chunk, long nowNanos, Effects out);

    /** The answer is whole. */
    void whole(long nowNanos, Effects out);

    /** The call ended without a whole answer. */
    void failed(Input.TargetFailed failure, long nowNanos, Effects out);

    /** It left the queue and has not run. */
    void shed(Shed shed, long nowNanos, Effects out);

    /** Tells whether it may be stopped at the target and run again later without harm. */
    boolean isStoppable();

    /** It was stopped at the target so that online requests can run. */
    void stopped(long nowNanos, Effects out);
}
