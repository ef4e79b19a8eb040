package org.coltsfootproxy.job;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.function.ToDoubleFunction;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.consensus.Proposer;
import org.coltsfootproxy.message.JobMessage;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Node;

/**
 * Serves the batch jobs of one group on a control host. It answers entries and agents while its
 * host leads the group, and redirects them to the leader otherwise.
 *
 * <p>Single-threaded and deterministic like a {@link Node}. The proposer may report a commit
 * between two calls of the service. {@link #nextTickNanos} is then due at once, so the host must
 * check it after every step of the group's log to send the answer without delay.
 */
public final class JobService {
    private static final long TICK_INTERVAL_NANOS = 250_000_000;
    private static final long EXPIRE_INTERVAL_NANOS = 10_000_000_000L;
    private static final long REDIRECT_RETRY_AFTER_MILLIS = 500;

    private final int mGroup;
    private final HostId mSelf;
    private final JobLedger mLedger;
    private final Proposer mProposer;
    private final JobSettings mSettings;
    private final StepContext mStep;
    private final CommandLog mLog;
    private final LeaderState mState;
    private final LeaseManager mLeaseManager;
    private final ReportHandler mReportHandler;
    private final AskHandler mAskHandler;
    private final JobMetrics mMetrics;
    private Phase mPhase = Phase.FOLLOWING;
    private long mNextTickNanos = Long.MIN_VALUE;
    private long mNextExpireNanos;

    private enum Phase {
        /** Another host leads, or there is no leader. */
        FOLLOWING,
        /** This host leads, but its term is not committed to the ledger yet. */
        OPENING,
        /** This host leads and answers requests. */
        LEADING
    }

    private JobService(
            HostId self,
            int group,
            JobLedger ledger,
            Proposer proposer,
            JobSettings settings,
            ToDoubleFunction<OrganisationId> weights,
            JobServices services,
            EpochClock clock) {
        mSelf = self;
        mGroup = group;
        mLedger = ledger;
        mProposer = proposer;
        mSettings = settings;
        mStep = new StepContext(clock);
        mLog = CommandLog.create(proposer, this::restartTerm);
        mState = new LeaderState(ledger, mStep, settings, FairShare.create(weights), services);
        mLeaseManager = new LeaseManager(group, mState, mLog);
        mReportHandler = new ReportHandler(group, mState, mLog, mLeaseManager);
        mAskHandler = new AskHandler(mState, mLog, mLeaseManager);
        mMetrics = new JobMetrics(mState);
    }

    /**
     * Returns the service of one group.
     *
     * @param self this control host
     * @param group group of the replicated log, from 1
     * @param ledger state machine of the group on this host
     * @param proposer the group's log
     * @param weights fair-share weight of each organisation; weights of 0 and below count as 1
     * @param services the services whose agents run the jobs
     * @param clock converts the monotonic times passed to the service into wall-clock times
     */
    public static JobService create(
            HostId self,
            int group,
            JobLedger ledger,
            Proposer proposer,
            JobSettings settings,
            ToDoubleFunction<OrganisationId> weights,
            JobServices services,
            EpochClock clock) {
        checkNotNull(self, "host is missing");
        checkArgument(group > 0, "group %s is below 1", group);
        checkNotNull(ledger, "ledger is missing");
        checkNotNull(proposer, "proposer is missing");
        checkNotNull(weights, "weights are missing");
        checkNotNull(services, "services are missing");
        checkNotNull(clock, "clock is missing");
        return new JobService(self, group, ledger, proposer, settings, weights, services, clock);
    }

    /** Handles a message from an entry or agent for this group. */
    public void handle(HostId from, JobMessage message, long nowNanos, Effects out) {
        mStep.advance(nowNanos);
        checkLeadership();
        if (message instanceof JobMessage.Ask ask) {
            handle(from, ask);
        } else if (message instanceof JobMessage.FromAgent agent) {
            handle(from, agent);
        }
        finish(out);
    }

    private void handle(HostId from, JobMessage.Ask ask) {
        if (mPhase == Phase.LEADING) {
            mAskHandler.handle(from, ask);
        } else {
            mStep.send(from, AskHandler.notLeading(ask, leader()));
        }
    }

    private void handle(HostId from, JobMessage.FromAgent message) {
        if (mPhase != Phase.LEADING) {
            mStep.send(
                    from, new JobMessage.Redirect(mGroup, leader(), REDIRECT_RETRY_AFTER_MILLIS));
            return;
        }
        ItemLeaseTable.OpenedSession opened =
                mState.leaseTable().open(from, message.incarnation()).orElse(null);
        if (opened == null) {
            return;
        }
        mLeaseManager.releaseOrphans(opened.orphans());
        AgentSession session = opened.session();
        session.recordMessage(mStep.nowNanos());
        if (message instanceof JobMessage.Pull pull) {
            mLeaseManager.pull(session, pull);
        } else if (message instanceof JobMessage.Renew renew) {
            mLeaseManager.renew(session, renew);
        } else if (message instanceof JobMessage.Start start) {
            mReportHandler.start(session, start);
        } else if (message instanceof JobMessage.Report report) {
            mReportHandler.report(session, report);
        } else if (message instanceof JobMessage.Progress progress) {
            mReportHandler.progress(session, progress);
        }
    }

    private HostId leader() {
        return mProposer.leader().filter(host -> !host.equals(mSelf)).orElse(null);
    }

    /** Runs the work that is due. */
    public void tick(long nowNanos, Effects out) {
        mStep.advance(nowNanos);
        checkLeadership();
        if (mPhase == Phase.LEADING && nowNanos - mNextTickNanos >= 0) {
            mLeaseManager.tick();
            mReportHandler.flush();
            mMetrics.tick();
            expire();
        }
        finish(out);
    }

    private void finish(Effects out) {
        if (mPhase == Phase.LEADING) {
            mLeaseManager.serveWaiting();
            mAskHandler.serveWaiting();
        }
        if (mNextTickNanos == Long.MIN_VALUE || mStep.nowNanos() - mNextTickNanos >= 0) {
            mNextTickNanos = mStep.nowNanos() + TICK_INTERVAL_NANOS;
        }
        mStep.flush(out);
    }

    /**
     * Returns the time at which {@link #tick} is due next; it lies in the past if work is due at
     * once.
     */
    public long nextTickNanos() {
        boolean isDue = mStep.hasEffects() || mState.hasServiceWithWork();
        return isDue ? mStep.nowNanos() : mNextTickNanos;
    }

    private void checkLeadership() {
        boolean isLeader = mProposer.isLeader(mStep.nowNanos());
        if (isLeader && mPhase == Phase.FOLLOWING) {
            openTerm();
        } else if (!isLeader && mPhase != Phase.FOLLOWING) {
            stepDown();
        }
    }

    private void stepDown() {
        mPhase = Phase.FOLLOWING;
        mState.clear();
        mReportHandler.clear();
        mAskHandler.stepDown(leader());
    }

    /**
     * Proposes the start of this leader's term. Once it is committed, the ledger holds everything
     * that earlier leaders committed.
     */
    private void openTerm() {
        mPhase = Phase.OPENING;
        if (mSettings.continueLedgerTime() && mLedger.lastCommandMillis() > 0) {
            mStep.continueFrom(mLedger.lastCommandMillis());
        }
        mLog.propose(
                new JobCommand.OpenTerm(mStep.epochMillis(), mSelf),
                outcome -> opened((JobOutcome.Term) outcome),
                kind -> mPhase = Phase.FOLLOWING);
    }

    private void opened(JobOutcome.Term term) {
        if (mPhase == Phase.OPENING) {
            mPhase = Phase.LEADING;
            mState.open(term.term());
            mReportHandler.clear();
            mLeaseManager.open();
        }
    }

    /**
     * Starts over as a new leader would, because the outcome of a command is unknown and the
     * leader's state in memory may not match the ledger.
     */
    private void restartTerm() {
        stepDown();
    }

    private void expire() {
        if (mStep.nowNanos() - mNextExpireNanos < 0 && mNextExpireNanos != 0) {
            return;
        }
        mNextExpireNanos = mStep.nowNanos() + EXPIRE_INTERVAL_NANOS;
        JobCommand.Expire expire =
                new JobCommand.Expire(
                        mStep.epochMillis(),
                        mSettings.retention().toMillis(),
                        mSettings.receivingTimeout().toMillis());
        if (mLedger.jobs().anyMatch(job -> JobTable.isExpired(job, expire))) {
            mLog.propose(expire, outcome -> {}, kind -> {});
        }
    }

    /** Returns whether this host leads the group and answers requests. */
    public boolean isLeading() {
        return mPhase == Phase.LEADING;
    }

    /** Returns the number of reports that were dropped because they were late or duplicates. */
    public long droppedReports() {
        return mReportHandler.dropped() + mLedger.dropped();
    }
}
