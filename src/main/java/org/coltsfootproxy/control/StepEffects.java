package org.coltsfootproxy.control;

import java.util.ArrayDeque;
import java.util.Deque;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.message.Message;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;

/**
 * The effects of whatever step is under way, so that completions told in a later step reach it;
 * messages of the host to itself are kept for it to handle, and measurements of batch work for its
 * status.
 */
final class StepEffects implements Effects {
    private final HostId mSelf;
    private final BacklogTracker mBoard;
    private final Deque<Message> mToSelf = new ArrayDeque<>();
    private Effects mOut = effect -> {};

    StepEffects(HostId self, BacklogTracker board) {
        mSelf = self;
        mBoard = board;
    }

    /** Begins a step. */
    void begin(Effects out) {
        mOut = out;
    }

    @Override
    public void add(Effect effect) {
        if (effect instanceof Effect.Measure measure) {
            mBoard.note(measure);
        }
        if (effect instanceof Effect.Send send && send.to().equals(mSelf)) {
            mToSelf.add(send.message());
        } else {
            mOut.add(effect);
        }
    }

    /** Returns the next message of the host to itself, or null if there is none. */
    Message pollToSelf() {
        return mToSelf.poll();
    }
}
