package org.coltsfootproxy.job;

import java.util.LinkedHashMap;
import java.util.Map;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.message.JobMessage;
import org.coltsfootproxy.message.LeaseRef;

/** The leader's view of the current incarnation of an agent. */
final class AgentSession {
    private final HostId mAgent;
    private final Map<LeaseRef, ItemLease> mLeases = new LinkedHashMap<>();
    private final Incarnation mIncarnation;
    private final Incarnation mPrevious;
    private JobMessage.Pull mPull;
    private Capacity mCapacity;
    private long mLastMessageNanos;

    /**
     * The number of items of a service that the agent can run concurrently if nothing else runs.
     */
    record Capacity(ServiceId service, int slots) {}

    private AgentSession(HostId agent, Incarnation incarnation, Incarnation previous) {
        mAgent = agent;
        mIncarnation = incarnation;
        mPrevious = previous;
    }

    /**
     * Returns a session without leases.
     *
     * @param previous the agent's previous incarnation, whose late messages are ignored
     */
    static AgentSession of(HostId agent, Incarnation incarnation, Incarnation previous) {
        return new AgentSession(agent, incarnation, previous);
    }

    HostId agent() {
        return mAgent;
    }

    Incarnation incarnation() {
        return mIncarnation;
    }

    Incarnation previous() {
        return mPrevious;
    }

    Map<LeaseRef, ItemLease> leases() {
        return mLeases;
    }

    /** Returns the pull that has not been answered yet, or null. */
    JobMessage.Pull pull() {
        return mPull;
    }

    void setPull(JobMessage.Pull pull) {
        mPull = pull;
        mCapacity = new Capacity(pull.service(), pull.capacity());
    }

    void clearPull() {
        mPull = null;
    }

    /** Returns the slots for items of a service, or 0 if the agent does not serve it. */
    int slots(ServiceId service) {
        return mCapacity != null && mCapacity.service().covers(service) ? mCapacity.slots() : 0;
    }

    long lastMessageNanos() {
        return mLastMessageNanos;
    }

    void recordMessage(long nowNanos) {
        mLastMessageNanos = nowNanos;
    }
}
