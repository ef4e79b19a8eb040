package org.coltsfootproxy.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.function.Consumer;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.JobId;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.message.ItemResult;
import org.coltsfootproxy.message.JobMessage;
import org.coltsfootproxy.message.JobState;
import org.coltsfootproxy.message.JobStatus;
import org.coltsfootproxy.message.LeaseRef;

/**
 * Handles requests from entries on the leader. Requests that change a job are answered only after
 * their command is committed.
 */
final class AskHandler {
    private static final int MAX_PAGE_ITEMS = 1_000;
    private static final int MAX_PAGE_SCANNED_ITEMS = 10_000;
    private static final long MAX_PAGE_BYTES = 512 << 10;
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final LeaderState mState;
    private final JobLedger mLedger;
    private final CommandLog mLog;
    private final StepContext mStep;
    private final LeaseManager mLeaseManager;
    private final ResultLongPolls mLongPolls;

    AskHandler(LeaderState state, CommandLog log, LeaseManager leases) {
        mState = state;
        mLedger = state.ledger();
        mLog = log;
        mStep = state.step();
        mLeaseManager = leases;
        mLongPolls = new ResultLongPolls(mLedger, mStep);
    }

    /** Answers long polls that have results or whose wait is over. */
    void serveWaiting() {
        mLongPolls.serveWaiting();
    }

    /**
     * Redirects waiting long polls, because this host no longer leads; {@code leader} may be null.
     */
    void stepDown(HostId leader) {
        mLongPolls.stepDown(leader);
    }

    void handle(HostId from, JobMessage.Ask ask) {
        if (ask instanceof JobMessage.AskStatus status) {
            readJob(from, ask, status.job(), job -> sendStatus(from, ask, job.status()));
        } else if (ask instanceof JobMessage.AskResults results) {
            readJob(from, ask, results.job(), job -> sendResults(from, results, job));
        } else if (ask instanceof JobMessage.AskEnded ended) {
            readJob(from, ask, ended.job(), job -> mLongPolls.read(from, ended, job));
        } else if (ask instanceof JobMessage.AskBody body) {
            readJob(from, ask, body.job(), job -> sendBody(from, body, job));
        } else if (ask instanceof JobMessage.AskJobs) {
            sendJobs(from, ask);
        } else {
            propose(from, ask, command(ask));
        }
    }

    private JobCommand command(JobMessage.Ask ask) {
        long time = mStep.epochMillis();
        OrganisationId organisation = ask.organisation();
        JobLimits limits = mState.settings().limits();
        if (ask instanceof JobMessage.Submit a) {
            return new JobCommand.Submit(
                    time, organisation, a.spec().submittedAt(time), a.items(), limits);
        } else if (ask instanceof JobMessage.Begin a) {
            return new JobCommand.Begin(time, organisation, a.spec(), limits);
        } else if (ask instanceof JobMessage.Append a) {
            return new JobCommand.Append(
                    time, organisation, a.job(), a.offset(), a.items(), limits);
        } else if (ask instanceof JobMessage.Commit a) {
            return new JobCommand.Commit(time, organisation, a.job());
        } else if (ask instanceof JobMessage.Cancel a) {
            return new JobCommand.Cancel(time, organisation, a.job());
        } else if (ask instanceof JobMessage.Settle a) {
            return new JobCommand.Settle(
                    time, organisation, a.job(), a.item(), a.fence(), a.decision(), a.result());
        }
        throw new IllegalStateException("no command for " + ask.getClass());
    }

    private void propose(HostId from, JobMessage.Ask ask, JobCommand command) {
        mLog.propose(
                command,
                outcome -> answer(from, ask, outcome),
                kind -> refuse(from, ask, kind, kind.title(), RETRY_AFTER_MILLIS));
    }

    private void answer(HostId from, JobMessage.Ask ask, JobOutcome outcome) {
        if (outcome instanceof JobOutcome.Accepted accepted) {
            applyChange(ask, accepted.status().spec().id());
            sendStatus(from, ask, accepted.status());
        } else if (outcome instanceof JobOutcome.Refused refused) {
            refuse(from, ask, refused.kind(), refused.detail(), RETRY_AFTER_MILLIS);
        }
    }

    private void applyChange(JobMessage.Ask ask, JobId id) {
        Optional<LedgerJob> job = mLedger.job(ask.organisation(), id);
        if (ask instanceof JobMessage.Cancel) {
            job.ifPresent(mLeaseManager::revoke);
        }
        job.ifPresent(mState::jobChanged);
        if (ask instanceof JobMessage.Settle settle) {
            job.ifPresent(j -> mState.requeue(new LeaseRef(j.number(), settle.item(), 0)));
        }
    }

    private void refuse(
            HostId from, JobMessage.Ask ask, ErrorKind kind, String detail, long retryMillis) {
        mStep.send(
                from,
                new JobMessage.Refused(
                        ask.group(), ask.call(), kind, kind.ran(), detail, retryMillis, null));
    }

    private void readJob(HostId from, JobMessage.Ask ask, JobId id, Consumer<LedgerJob> reader) {
        Optional<LedgerJob> job = mLedger.job(ask.organisation(), id);
        if (job.isEmpty()) {
            mStep.send(from, unknownJob(ask, id));
            return;
        }
        reader.accept(job.get());
    }

    private void sendBody(HostId from, JobMessage.AskBody ask, LedgerJob job) {
        OptionalInt item =
                job.items().indexOf(ask.item()).stream()
                        .filter(index -> !job.items().state(index).isEnded())
                        .findFirst();
        if (item.isEmpty()) {
            refuse(from, ask, ErrorKind.NOT_FOUND, "no open item has the id " + ask.item(), 0);
            return;
        }
        byte[] body = ItemPayload.content(job.items().payload(item.getAsInt()));
        mStep.send(from, new JobMessage.Body(ask.group(), ask.call(), body));
    }

    private void sendStatus(HostId from, JobMessage.Ask ask, JobStatus status) {
        JobStatus known =
                mLedger.job(ask.organisation(), status.spec().id())
                        .map(this::estimated)
                        .orElse(status);
        mStep.send(from, new JobMessage.Status(ask.group(), ask.call(), known));
    }

    private JobStatus estimated(LedgerJob job) {
        return job.status().withEstimate(mState.estimateEpochMillis(job));
    }

    private void sendJobs(HostId from, JobMessage.Ask ask) {
        List<JobStatus> jobs = mLedger.jobs(ask.organisation()).map(this::estimated).toList();
        mStep.send(from, new JobMessage.Jobs(ask.group(), ask.call(), jobs));
    }

    private void sendResults(HostId from, JobMessage.AskResults ask, LedgerJob job) {
        ItemTable items = job.items();
        List<ItemResult> page = new ArrayList<>();
        int next = Math.max(0, ask.from());
        int last = (int) Math.min(items.size(), (long) next + MAX_PAGE_SCANNED_ITEMS);
        long bytes = 0;
        while (next < last && page.size() < MAX_PAGE_ITEMS && bytes < MAX_PAGE_BYTES) {
            if (items.state(next).isEnded()) {
                page.add(items.result(next));
                bytes += items.payload(next).length + ItemTable.OVERHEAD_BYTES;
            }
            next++;
        }
        boolean isEnded = job.state() == JobState.FINISHED || job.isSettled();
        mStep.send(
                from,
                new JobMessage.Results(
                        ask.group(), ask.call(), estimated(job), page, next, isEnded));
    }

    static JobMessage.Refused unknownJob(JobMessage.Ask ask, JobId id) {
        ErrorKind kind = ErrorKind.NOT_FOUND;
        String detail = "no job has the id " + id;
        return new JobMessage.Refused(ask.group(), ask.call(), kind, kind.ran(), detail, 0, null);
    }

    /** Returns the refusal of a host that does not lead; {@code leader} may be null. */
    static JobMessage.Refused notLeading(JobMessage.Ask ask, HostId leader) {
        ErrorKind kind = ErrorKind.NO_LEADER;
        return new JobMessage.Refused(
                ask.group(),
                ask.call(),
                kind,
                kind.ran(),
                "this control host does not lead",
                RETRY_AFTER_MILLIS,
                leader);
    }
}
