package org.coltsfootproxy.control;

import java.util.ArrayDeque;
import java.util.Deque;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.message.Message;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;

/**
 * Forwards effects to the current step, so that a completion which runs in a later step adds its
 * effects to that step. Messages of the host to itself are queued for it to handle, and
 * measurements are also recorded for the status.
 */
final class StepEffects implements Effects {
    private final HostId mSelf;
    private final BacklogTracker mBacklogs;
    private final Deque<Message> mToSelf = new ArrayDeque<>();
    private Effects mOut = effect -> {};

    StepEffects(HostId self, BacklogTracker backlogs) {
        mSelf = self;
        mBacklogs = backlogs;
    }

    /** Starts a step, whose effects go to {@code out}. */
    void begin(Effects out) {
        mOut = out;
    }

    @Override
    public void add(Effect effect) {
        if (effect instanceof Effect.Measure measure) {
            mBacklogs.update(measure);
        }
        if (effect instanceof Effect.Send send && send.to().equals(mSelf)) {
            mToSelf.add(send.message());
        } else {
            mOut.add(effect);
        }
    }

    /** Removes and returns the next message of the host to itself, or null if there is none. */
    Message pollToSelf() {
        return mToSelf.poll();
    }
}
