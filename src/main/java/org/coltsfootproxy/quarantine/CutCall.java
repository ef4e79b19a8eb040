package org.coltsfootproxy.quarantine;

import org.coltsfootproxy.base.TargetId;

/**
 * A call whose connection its target closed before the answer was complete, as a target does that
 * crashes.
 *
 * @param call id of the call
 * @param hasOnlyBegun whether the target had begun its answer and sent no output yet
 * @param recurred whether the call was sent after another target had crashed on its content
 */
public record CutCall(
        TargetId target, String call, CallContent content, boolean hasOnlyBegun, boolean recurred) {
    /** Returns a batch item that was cut as its target began the answer. */
    public static CutCall ofItem(TargetId target, String call, CallContent content) {
        return new CutCall(target, call, content, true, false);
    }
}
