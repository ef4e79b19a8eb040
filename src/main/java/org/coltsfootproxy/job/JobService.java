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
 * The control host's side of batch jobs for one group: it answers entries and agents while its host
 * leads the group, and sends them on while it doesn't.
 *
 * <p>Single-threaded and deterministic like a {@link Node}. A commit may be told by the proposer
 * outside the service's own steps; then {@link #nextTickNanos} is due at once, so a host that asks
 * for it after every step of the group's log loses no answer.
 */
public final class JobService {
    private static final long TICK_NANOS = 250_000_000;
    private static final long EXPIRE_NANOS = 10_000_000_000L;
    private static final long REDIRECT_MILLIS = 500;

    private final int mGroup;
    private final HostId mSelf;
    private final JobLedger mLedger;
    private final Proposer mProposer;
    private final JobSettings mSettings;
    private final StepClock mStep;
    private final CommandLog mLog;
    private final LeaderState mState;
    private final LeaseManager mLeases;
    private final ReportHandler mReports;
    private final AskHandler mAsks;
    private final JobMeter mMeter;
    private Phase mPhase = Phase.FOLLOWING;
    private long mNextTickNanos = Long.MIN_VALUE;
    private long mNextExpireNanos;

    private enum Phase {
        /** Another host leads, or none. */
        FOLLOWING,
        /** This host leads; its term is not in the ledger yet. */
        OPENING,
        /** This host leads and answers. */
        LEADING
    }

    private JobService(
            HostId self,
            int group,
            JobLedger ledger,
            Proposer proposer,
            JobSettings settings,
            ToDoubleFunction<OrganisationId> weights,
            EpochClock clock) {
        mSelf = self;
        mGroup = group;
        mLedger = ledger;
        mProposer = proposer;
        mSettings = settings;
        mStep = new StepClock(clock);
        mLog = CommandLog.create(proposer, this::reopen);
        mState = new LeaderState(ledger, mStep, settings, FairShare.create(weights));
        mLeases = new LeaseManager(group, mState, mLog);
        mReports = new ReportHandler(group, mState, mLog, mLeases);
        mAsks = new AskHandler(mState, mLog, mLeases);
        mMeter = new JobMeter(mState);
    }

    /**
     * Returns the service of one group.
     *
     * @param self this control host
     * @param group group of the replicated log, from 1
     * @param ledger state machine of that group on this host
     * @param proposer the group's log
     * @param weights weight of each organisation; not above 0 stands for 1
     * @param clock turns the times that the service is handed into wall-clock times
     */
    public static JobService create(
            HostId self,
            int group,
            JobLedger ledger,
            Proposer proposer,
            JobSettings settings,
            ToDoubleFunction<OrganisationId> weights,
            EpochClock clock) {
        checkNotNull(self, "host is missing");
        checkArgument(group > 0, "group %s is not one of jobs", group);
        checkNotNull(ledger, "ledger is missing");
        checkNotNull(proposer, "proposer is missing");
        checkNotNull(weights, "weights are missing");
        checkNotNull(clock, "clock is missing");
        return new JobService(self, group, ledger, proposer, settings, weights, clock);
    }

    /** Handles a message of an entry or agent for this group. */
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
            mAsks.handle(from, ask);
        } else {
            mStep.send(from, AskHandler.elsewhere(ask, leader()));
        }
    }

    private void handle(HostId from, JobMessage.FromAgent message) {
        if (mPhase != Phase.LEADING) {
            mStep.send(from, new JobMessage.Redirect(mGroup, leader(), REDIRECT_MILLIS));
            return;
        }
        LeaseTable.Opened opened = mState.table().open(from, message.incarnation()).orElse(null);
        if (opened == null) {
            return;
        }
        mLeases.orphan(opened.orphans());
        AgentSession session = opened.session();
        session.hear(mStep.nowNanos());
        if (message instanceof JobMessage.Pull pull) {
            mLeases.pull(session, pull);
        } else if (message instanceof JobMessage.Renew renew) {
            mLeases.renew(session, renew);
        } else if (message instanceof JobMessage.Start start) {
            mReports.start(session, start);
        } else if (message instanceof JobMessage.Report report) {
            mReports.report(session, report);
        } else if (message instanceof JobMessage.Progress progress) {
            mReports.progress(session, progress);
        }
    }

    private HostId leader() {
        return mProposer.leader().filter(host -> !host.equals(mSelf)).orElse(null);
    }

    /** Does whatever is due. */
    public void tick(long nowNanos, Effects out) {
        mStep.advance(nowNanos);
        checkLeadership();
        if (mPhase == Phase.LEADING && nowNanos - mNextTickNanos >= 0) {
            mLeases.tick();
            mReports.flush();
            mMeter.tick();
            expire();
        }
        finish(out);
    }

    private void finish(Effects out) {
        if (mPhase == Phase.LEADING) {
            mLeases.serveWaiting();
            mAsks.serveWaiting();
        }
        if (mNextTickNanos == Long.MIN_VALUE || mStep.nowNanos() - mNextTickNanos >= 0) {
            mNextTickNanos = mStep.nowNanos() + TICK_NANOS;
        }
        mStep.flush(out);
    }

    /** Returns the time of the next due {@link #tick}; in the past if it is due at once. */
    public long nextTickNanos() {
        boolean isDue = mStep.hasEffects() || mState.hasFreshWork();
        return isDue ? mStep.nowNanos() : mNextTickNanos;
    }

    private void checkLeadership() {
        boolean isLeader = mProposer.isLeader(mStep.nowNanos());
        if (isLeader && mPhase == Phase.FOLLOWING) {
            openTerm();
        } else if (!isLeader && mPhase != Phase.FOLLOWING) {
            follow();
        }
    }

    private void follow() {
        mPhase = Phase.FOLLOWING;
        mState.clear();
        mReports.clear();
        mAsks.stepDown(leader());
    }

    /**
     * Puts the start of this leader's term into the log. Once it is committed, the ledger holds all
     * that earlier leaders committed.
     */
    private void openTerm() {
        mPhase = Phase.OPENING;
        if (mSettings.steadyTime() && mLedger.lastMillis() > 0) {
            mStep.continueFrom(mLedger.lastMillis());
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
            mReports.clear();
            mLeases.open();
        }
    }

    /** Starts over as a new leader would, because the outcome of a command got lost. */
    private void reopen() {
        follow();
    }

    private void expire() {
        if (mStep.nowNanos() - mNextExpireNanos < 0 && mNextExpireNanos != 0) {
            return;
        }
        mNextExpireNanos = mStep.nowNanos() + EXPIRE_NANOS;
        JobCommand.Expire expire =
                new JobCommand.Expire(
                        mStep.epochMillis(),
                        mSettings.retention().toMillis(),
                        mSettings.receiving().toMillis());
        if (mLedger.jobs().anyMatch(job -> JobShelf.isExpired(job, expire))) {
            mLog.propose(expire, outcome -> {}, kind -> {});
        }
    }

    /** Tells whether this host leads the group and answers. */
    public boolean isLeading() {
        return mPhase == Phase.LEADING;
    }

    /** Returns the reports dropped because they came late or twice. */
    public long droppedReports() {
        return mReports.dropped() + mLedger.dropped();
    }
}
