package org.coltsfootproxy.routing;

import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.RendezvousHash;

/** What an entry knows about one agent. */
final class Candidate {
    private final HostId mAgent;
    private final long mHash;
    private DataCentre mDataCentre;
    private Incarnation mIncarnation = Incarnation.UNKNOWN;
    private boolean mUp;
    private AgentReport mReport;
    private long mReportTime;
    private int mOwnInFlight;
    private int mOwnAtReport;
    private int mFailures;
    private int mTimesSetAside;
    private long mSetAsideUntil = Long.MIN_VALUE;
    private AgentHealth mTrust = AgentHealth.CHART.initial();

    Candidate(HostId agent, DataCentre dataCentre) {
        mAgent = agent;
        mHash = RendezvousHash.hashOf(agent);
        mDataCentre = dataCentre;
    }

    HostId agent() {
        return mAgent;
    }

    /** Returns the rank of the agent for a prompt prefix; the highest is best. */
    long affinity(long prefixHash) {
        return RendezvousHash.score(mHash, prefixHash);
    }

    DataCentre dataCentre() {
        return mDataCentre;
    }

    void move(DataCentre dataCentre) {
        mDataCentre = dataCentre;
    }

    Incarnation incarnation() {
        return mIncarnation;
    }

    boolean isUp() {
        return mUp;
    }

    void up(Incarnation incarnation) {
        if (!incarnation.equals(mIncarnation)) {
            mReport = null;
        }
        mIncarnation = incarnation;
        mUp = true;
    }

    void down() {
        mUp = false;
        mReport = null;
    }

    void report(AgentReport report, long now) {
        mReport = report;
        mReportTime = now;
        mOwnAtReport = mOwnInFlight;
        mIncarnation = report.incarnation();
    }

    boolean isDraining() {
        return mReport != null && mReport.draining();
    }

    /**
     * Returns the load as a share of what the target takes.
     *
     * <p>A fresh report counts in full together with what this entry sent since; as it ages, only
     * this entry's own count is left.
     */
    double load(long now, long reportLife) {
        if (mReport == null) {
            return mOwnInFlight;
        }
        double age = (double) (now - mReportTime) / reportLife;
        double trust = Math.max(0, 1 - age);
        double reported = mReport.inFlight() + mReport.queued() - mOwnAtReport;
        double others = Math.max(0, reported) * trust;
        return (others + mOwnInFlight) / Math.max(1, mReport.limit());
    }

    void sent() {
        mOwnInFlight++;
    }

    boolean isSetAside(long now) {
        return now < mSetAsideUntil || mTrust == AgentHealth.PROBING;
    }

    /** Tells whether the time aside is over and one request may show how the agent does. */
    boolean wantsProbe(long now) {
        return mTrust == AgentHealth.SET_ASIDE && now >= mSetAsideUntil;
    }

    void probe() {
        mTrust = mTrust.after(AgentHealth.Event.PROBE);
    }

    /** Notes an end; returns whether the agent is to be set aside. */
    boolean ended(Outcome outcome, int failuresToSetAside) {
        mOwnInFlight = Math.max(0, mOwnInFlight - 1);
        boolean wasProbe = mTrust == AgentHealth.PROBING;
        if (outcome == Outcome.ANSWERED) {
            mFailures = 0;
            mTimesSetAside = 0;
            mTrust = mTrust.after(AgentHealth.Event.ANSWERED);
            return false;
        }
        mTrust = mTrust.after(AgentHealth.Event.INCONCLUSIVE);
        mFailures += outcome == Outcome.FAILED ? 1 : 0;
        return outcome == Outcome.FAILED && (wasProbe || mFailures >= failuresToSetAside);
    }

    void setAside(long now, long first, long most) {
        long time = first << Math.min(mTimesSetAside, Integer.SIZE / 2);
        mTimesSetAside++;
        mTrust = mTrust.after(AgentHealth.Event.FAILED_TOO_OFTEN);
        mSetAsideUntil = now + Math.min(most, time);
    }
}
