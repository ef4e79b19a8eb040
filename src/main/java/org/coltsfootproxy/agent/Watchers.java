package org.coltsfootproxy.agent;

import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.message.CallMessage;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Node;

/**
 * Tells the entries that watch this agent its state.
 *
 * <p>Changes are told at most once in {@link #INTERVAL_NANOS}, so that the cost doesn't follow the
 * requests; that the agent is draining is told at once.
 */
final class Watchers {
    /** Shortest time between two messages about ordinary changes. */
    static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final Incarnation mIncarnation;
    private final ServiceId mService;
    private final TreeSet<HostId> mEntries = new TreeSet<>();
    private CallMessage.AgentState mTold;
    private CallMessage.AgentState mCurrent;
    private long mLastTold;

    private Watchers(Incarnation incarnation, ServiceId service) {
        mIncarnation = incarnation;
        mService = service;
        mCurrent = state(false, 0, 0, 1);
        mTold = mCurrent;
    }

    static Watchers create(Incarnation incarnation, ServiceId service) {
        return new Watchers(incarnation, service);
    }

    private CallMessage.AgentState state(boolean draining, int inFlight, int queued, int limit) {
        return new CallMessage.AgentState(
                CallMessage.NO_REQUEST, mIncarnation, mService, draining, inFlight, queued, limit);
    }

    /** Adds an entry and tells it the state. */
    void watch(HostId entry, Effects out) {
        mEntries.add(entry);
        out.send(entry, mCurrent);
    }

    void lost(HostId entry) {
        mEntries.remove(entry);
    }

    /** Notes the state now and tells it if it is time. */
    void update(boolean draining, int inFlight, int queued, int limit, long now, Effects out) {
        mCurrent = state(draining, inFlight, queued, limit);
        boolean isUrgent = draining != mTold.draining();
        if (isUrgent || now - nextTickNanos() >= 0 && !mCurrent.equals(mTold)) {
            mTold = mCurrent;
            mLastTold = now;
            mEntries.forEach(entry -> out.send(entry, mCurrent));
        }
    }

    /** Returns when a change that was held back is to be told. */
    long nextTickNanos() {
        return mCurrent.equals(mTold) ? Node.NEVER : mLastTold + INTERVAL_NANOS;
    }
}
