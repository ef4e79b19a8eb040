package org.coltsfootproxy.routing;

import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.RendezvousHash;

/** The state that an entry keeps about one agent. */
final class Candidate {
    private final HostId mAgent;
    private final long mAgentHash;
    private DataCentre mDataCentre;
    private Incarnation mIncarnation = Incarnation.UNKNOWN;
    private boolean mUp;
    private AgentReport mReport;
    private long mReportedAt;
    private int mOwnInFlight;
    private int mOwnInFlightAtReport;
    private int mConsecutiveFailures;
    private int mEjections;
    private long mEjectedUntil = Long.MIN_VALUE;
    private AgentHealth mHealth = AgentHealth.CHART.initial();

    Candidate(HostId agent, DataCentre dataCentre) {
        mAgent = agent;
        mAgentHash = RendezvousHash.hashOf(agent);
        mDataCentre = dataCentre;
    }

    HostId agent() {
        return mAgent;
    }

    /** Returns the agent's rendezvous hash score for a prompt prefix; the highest score wins. */
    long affinity(long prefixHash) {
        return RendezvousHash.score(mAgentHash, prefixHash);
    }

    DataCentre dataCentre() {
        return mDataCentre;
    }

    void updateDataCentre(DataCentre dataCentre) {
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
        mReportedAt = now;
        mOwnInFlightAtReport = mOwnInFlight;
        mIncarnation = report.incarnation();
    }

    boolean isDraining() {
        return mReport != null && mReport.draining();
    }

    /**
     * Returns the load as a share of the agent's concurrency limit.
     *
     * <p>The load is the agent's reported load from other entries plus this entry's own requests in
     * flight. The weight of the reported part falls linearly to 0 as the report ages. Without a
     * report the limit is not known, so the number of this entry's own requests in flight is
     * returned.
     */
    double load(long now, long maxReportAge) {
        if (mReport == null) {
            return mOwnInFlight;
        }
        double age = (double) (now - mReportedAt) / maxReportAge;
        double weight = Math.max(0, 1 - age);
        double othersAtReport = mReport.inFlight() + mReport.queued() - mOwnInFlightAtReport;
        double othersLoad = Math.max(0, othersAtReport) * weight;
        return (othersLoad + mOwnInFlight) / Math.max(1, mReport.limit());
    }

    void sent() {
        mOwnInFlight++;
    }

    boolean isEjected(long now) {
        return now < mEjectedUntil || mHealth == AgentHealth.PROBING;
    }

    /** Returns whether the ejection time is over, so that one request may probe the agent. */
    boolean isDueForProbe(long now) {
        return mHealth == AgentHealth.SET_ASIDE && now >= mEjectedUntil;
    }

    void startProbe() {
        mHealth = mHealth.after(AgentHealth.Event.PROBE);
    }

    /** Records the end of a request; returns whether the agent should be ejected. */
    boolean recordOutcome(Outcome outcome, int failuresToEject) {
        mOwnInFlight = Math.max(0, mOwnInFlight - 1);
        boolean wasProbe = mHealth == AgentHealth.PROBING;
        if (outcome == Outcome.ANSWERED) {
            mConsecutiveFailures = 0;
            mEjections = 0;
            mHealth = mHealth.after(AgentHealth.Event.ANSWERED);
            return false;
        }
        mHealth = mHealth.after(AgentHealth.Event.INCONCLUSIVE);
        mConsecutiveFailures += outcome == Outcome.FAILED ? 1 : 0;
        return outcome == Outcome.FAILED && (wasProbe || mConsecutiveFailures >= failuresToEject);
    }

    void eject(long now, long baseNanos, long maxNanos) {
        long nanos = baseNanos << Math.min(mEjections, Integer.SIZE / 2);
        mEjections++;
        mHealth = mHealth.after(AgentHealth.Event.FAILED_TOO_OFTEN);
        mEjectedUntil = now + Math.min(maxNanos, nanos);
    }
}
