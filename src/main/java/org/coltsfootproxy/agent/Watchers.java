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
 * Reports the agent's state to the entries that watch it.
 *
 * <p>Changes are reported at most once per {@link #MIN_INTERVAL_NANOS}, so that the cost does not
 * grow with the request rate. A change of {@code draining} is reported at once.
 */
final class Watchers {
    /** Shortest interval between two reports, except for a change of {@code draining}. */
    static final long MIN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final Incarnation mIncarnation;
    private final ServiceId mService;
    private final TreeSet<HostId> mEntries = new TreeSet<>();
    private CallMessage.AgentState mReported;
    private CallMessage.AgentState mCurrent;
    private long mLastReportedAt;

    private Watchers(Incarnation incarnation, ServiceId service) {
        mIncarnation = incarnation;
        mService = service;
        mCurrent = state(false, 0, 0, 1);
        mReported = mCurrent;
    }

    static Watchers create(Incarnation incarnation, ServiceId service) {
        return new Watchers(incarnation, service);
    }

    private CallMessage.AgentState state(boolean draining, int inFlight, int queued, int limit) {
        return new CallMessage.AgentState(
                CallMessage.NO_REQUEST, mIncarnation, mService, draining, inFlight, queued, limit);
    }

    /** Adds an entry and sends it the current state. */
    void watch(HostId entry, Effects out) {
        mEntries.add(entry);
        out.send(entry, mCurrent);
    }

    void entryLost(HostId entry) {
        mEntries.remove(entry);
    }

    /** Updates the state and reports it if that is due. */
    void update(boolean draining, int inFlight, int queued, int limit, long now, Effects out) {
        mCurrent = state(draining, inFlight, queued, limit);
        boolean isUrgent = draining != mReported.draining();
        if (isUrgent || now - nextTickNanos() >= 0 && !mCurrent.equals(mReported)) {
            mReported = mCurrent;
            mLastReportedAt = now;
            mEntries.forEach(entry -> out.send(entry, mCurrent));
        }
    }

    /** Returns when a delayed change is to be reported; {@link Node#NEVER} if there is none. */
    long nextTickNanos() {
        return mCurrent.equals(mReported) ? Node.NEVER : mLastReportedAt + MIN_INTERVAL_NANOS;
    }
}
