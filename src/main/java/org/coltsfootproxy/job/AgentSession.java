package org.coltsfootproxy.job;

import java.util.LinkedHashMap;
import java.util.Map;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.message.JobMessage;
import org.coltsfootproxy.message.LeaseRef;

/** What the leader knows of one agent's present life. */
final class AgentSession {
    private final HostId mAgent;
    private final Map<LeaseRef, Lease> mLeases = new LinkedHashMap<>();
    private final Incarnation mIncarnation;
    private final Incarnation mEarlier;
    private JobMessage.Pull mPull;
    private Capacity mCapacity;
    private long mHeardNanos;

    /** Items of a service that the agent could run at once if nothing else ran. */
    record Capacity(ServiceId service, int slots) {}

    private AgentSession(HostId agent, Incarnation incarnation, Incarnation earlier) {
        mAgent = agent;
        mIncarnation = incarnation;
        mEarlier = earlier;
    }

    /**
     * Returns a session without leases.
     *
     * @param earlier the agent's life before, whose late messages are ignored
     */
    static AgentSession of(HostId agent, Incarnation incarnation, Incarnation earlier) {
        return new AgentSession(agent, incarnation, earlier);
    }

    HostId agent() {
        return mAgent;
    }

    Incarnation incarnation() {
        return mIncarnation;
    }

    Incarnation earlier() {
        return mEarlier;
    }

    Map<LeaseRef, Lease> leases() {
        return mLeases;
    }

    /** Returns the pull that was not answered yet, or null. */
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

    /** Returns the slots for items of a service, 0 if the agent serves another one. */
    int slots(ServiceId service) {
        return mCapacity != null && mCapacity.service().covers(service) ? mCapacity.slots() : 0;
    }

    long heardNanos() {
        return mHeardNanos;
    }

    void hear(long nowNanos) {
        mHeardNanos = nowNanos;
    }
}
