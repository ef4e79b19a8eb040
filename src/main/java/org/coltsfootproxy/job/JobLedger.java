package org.coltsfootproxy.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.JobId;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.base.RecordCodec;
import org.coltsfootproxy.consensus.StateMachine;
import org.coltsfootproxy.message.ItemReport;
import org.coltsfootproxy.message.ItemState;
import org.coltsfootproxy.message.JobItem;
import org.coltsfootproxy.message.JobSpec;
import org.coltsfootproxy.message.JobState;
import org.coltsfootproxy.message.LeaseRef;
import org.coltsfootproxy.message.ReportVerdict;
import org.coltsfootproxy.message.SettleDecision;

/**
 * Replicated state machine that holds the batch jobs and items of one group.
 *
 * <p>It contains everything that must survive a change of leader: jobs, item bodies, results,
 * durable starts and verdicts. Leases are kept in the leader's memory only.
 */
public final class JobLedger implements StateMachine {
    private static final RecordCodec<JobCommand> COMMANDS = RecordCodec.of(JobCommand.class);
    private static final RecordCodec<JobOutcome> OUTCOMES = RecordCodec.of(JobOutcome.class);
    private static final int OK = 200;

    private JobTable mTable = JobTable.create();
    private long mDropped;

    private JobLedger() {}

    /** Returns a ledger without jobs. */
    public static JobLedger create() {
        return new JobLedger();
    }

    static byte[] encode(JobCommand command) {
        return COMMANDS.encode(command);
    }

    static JobOutcome outcome(byte[] result) throws ProxyException {
        return OUTCOMES.decode(result);
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        return OUTCOMES.encode(apply(command));
    }

    private JobOutcome apply(byte[] bytes) {
        try {
            JobCommand command = COMMANDS.decode(bytes);
            JobOutcome outcome = apply(command);
            mTable.recordTime(command.epochMillis());
            return outcome;
        } catch (ProxyException e) {
            return new JobOutcome.Refused(e.kind(), e.getMessage());
        }
    }

    private JobOutcome apply(JobCommand command) throws ProxyException {
        if (command instanceof JobCommand.OpenTerm) {
            return new JobOutcome.Term(mTable.nextTerm());
        } else if (command instanceof JobCommand.Submit submit) {
            return submit(submit);
        } else if (command instanceof JobCommand.Begin begin) {
            return accepted(begin(begin.organisation(), begin.spec(), begin, begin.limits()));
        } else if (command instanceof JobCommand.Append append) {
            LedgerJob job = mTable.get(append.organisation(), append.job());
            append(job, append.offset(), append.items(), append.limits(), append.epochMillis());
            return accepted(job);
        } else if (command instanceof JobCommand.Commit commit) {
            return commit(commit);
        } else if (command instanceof JobCommand.Start start) {
            return start(start);
        } else if (command instanceof JobCommand.Report report) {
            return report(report);
        } else if (command instanceof JobCommand.Progress progress) {
            return progress(progress);
        } else if (command instanceof JobCommand.Lose lose) {
            return recordLoss(lose);
        } else if (command instanceof JobCommand.Cancel cancel) {
            return cancel(cancel);
        } else if (command instanceof JobCommand.Settle settle) {
            return settle(settle);
        } else if (command instanceof JobCommand.Expire expire) {
            return new JobOutcome.Count(mTable.removeExpired(expire));
        }
        throw new IllegalStateException("unhandled command " + command.getClass());
    }

    private static JobOutcome accepted(LedgerJob job) {
        return new JobOutcome.Accepted(job.status());
    }

    private JobOutcome submit(JobCommand.Submit submit) throws ProxyException {
        check(
                submit.items().size() == submit.spec().items(),
                ErrorKind.INVALID_JOB,
                "the job names another number of items than it brings");
        Optional<LedgerJob> existing = mTable.find(submit.organisation(), submit.spec().id());
        LedgerJob job = begin(submit.organisation(), submit.spec(), submit, submit.limits());
        try {
            append(job, 0, submit.items(), submit.limits(), submit.epochMillis());
        } catch (ProxyException e) {
            if (existing.isEmpty()) {
                mTable.remove(job);
            }
            throw e;
        }
        accept(job, submit.epochMillis());
        return accepted(job);
    }

    private LedgerJob begin(
            OrganisationId organisation, JobSpec spec, JobCommand command, JobLimits limits)
            throws ProxyException {
        Optional<LedgerJob> existing = mTable.find(organisation, spec.id());
        if (existing.isPresent()) {
            check(
                    existing.get().spec().isSameRequestAs(spec),
                    ErrorKind.CONFLICT,
                    "the job id was used with another path, deadline or number of items");
            return existing.get();
        }
        check(
                spec.items() <= limits.itemsPerJob(),
                ErrorKind.INVALID_JOB,
                "the job has more than " + limits.itemsPerJob() + " items");
        check(
                spec.deadlineEpochMillis() > command.epochMillis(),
                ErrorKind.INVALID_JOB,
                "the deadline has passed");
        mTable.checkQuota(organisation, spec.items(), limits);
        return mTable.begin(organisation, spec, command.epochMillis());
    }

    private void append(
            LedgerJob job, int offset, List<JobItem> items, JobLimits limits, long epochMillis)
            throws ProxyException {
        ItemTable table = job.items();
        check(offset >= 0, ErrorKind.INVALID_JOB, "the offset is below 0");
        check(
                offset <= table.size() || job.state() != JobState.RECEIVING,
                ErrorKind.INVALID_JOB,
                "items from " + table.size() + " on were not received yet");
        check(
                (long) offset + items.size() <= job.spec().items(),
                ErrorKind.INVALID_JOB,
                "the job has only " + job.spec().items() + " items");
        int alreadyReceived = Math.min(items.size(), Math.max(0, table.size() - offset));
        check(
                IntStream.range(0, alreadyReceived)
                        .allMatch(i -> table.isSame(offset + i, items.get(i))),
                ErrorKind.CONFLICT,
                "an item was received before with other content");
        if (job.state() == JobState.CANCELLED) {
            return;
        } else if (job.state() != JobState.RECEIVING) {
            check(
                    alreadyReceived == items.size(),
                    ErrorKind.CONFLICT,
                    "the job takes no more items");
            return;
        }
        mTable.append(job, items.subList(alreadyReceived, items.size()), limits);
        job.touch(epochMillis);
    }

    private JobOutcome commit(JobCommand.Commit commit) throws ProxyException {
        LedgerJob job = mTable.get(commit.organisation(), commit.job());
        check(
                job.state() != JobState.RECEIVING || job.items().size() == job.spec().items(),
                ErrorKind.INVALID_JOB,
                String.format(
                        "%d of %d items were received", job.items().size(), job.spec().items()));
        accept(job, commit.epochMillis());
        return accepted(job);
    }

    private static void accept(LedgerJob job, long epochMillis) {
        if (JobEvent.CHART.changes(job.state(), JobEvent.ACCEPT)) {
            job.accept(epochMillis);
        }
    }

    private JobOutcome start(JobCommand.Start start) {
        return new JobOutcome.Starts(
                start.leases().stream()
                        .map(
                                lease ->
                                        mTable.changeItems(
                                                lease.job(),
                                                start.epochMillis(),
                                                false,
                                                transitions ->
                                                        transitions.start(
                                                                lease,
                                                                start.agent().value(),
                                                                start.epochMillis())))
                        .toList());
    }

    private JobOutcome report(JobCommand.Report command) {
        List<ReportVerdict> verdicts = new ArrayList<>(command.reports().size());
        for (ItemReport report : command.reports()) {
            verdicts.add(
                    mTable.changeItems(
                            report.lease().job(),
                            command.epochMillis(),
                            ReportVerdict.DROPPED,
                            transitions ->
                                    transitions.report(
                                            report, command.retry(), command.epochMillis())));
        }
        mDropped += verdicts.stream().filter(v -> v == ReportVerdict.DROPPED).count();
        return new JobOutcome.Verdicts(verdicts);
    }

    private JobOutcome progress(JobCommand.Progress command) {
        long stored =
                command.items().stream()
                        .filter(
                                item ->
                                        mTable.changeItems(
                                                item.lease().job(),
                                                command.epochMillis(),
                                                false,
                                                transitions -> transitions.progress(item)))
                        .count();
        return new JobOutcome.Count((int) stored);
    }

    private JobOutcome recordLoss(JobCommand.Lose lose) {
        long time = lose.epochMillis();
        long changed =
                lose.leases().stream()
                        .filter(
                                lease ->
                                        mTable.changeItems(
                                                lease.job(),
                                                time,
                                                false,
                                                l -> l.recordLoss(lease, time)))
                        .count();
        return new JobOutcome.Count((int) changed);
    }

    private JobOutcome cancel(JobCommand.Cancel cancel) throws ProxyException {
        LedgerJob job = mTable.get(cancel.organisation(), cancel.job());
        if (JobEvent.CHART.changes(job.state(), JobEvent.CANCEL)) {
            mTable.cancel(job, cancel.epochMillis());
        }
        return accepted(job);
    }

    private JobOutcome settle(JobCommand.Settle settle) throws ProxyException {
        LedgerJob job = mTable.get(settle.organisation(), settle.job());
        int item = settle.item();
        check(
                item >= 0 && item < job.items().size(),
                ErrorKind.NOT_FOUND,
                "the job has no item " + item);
        ItemTable.Run run = job.items().run(item);
        check(
                job.items().state(item) == ItemState.MAY_HAVE_RUN && run.fence() == settle.fence(),
                ErrorKind.CONFLICT,
                "the run is not in doubt; the item is " + job.items().state(item).label());
        settle(job, settle);
        return accepted(job);
    }

    private void settle(LedgerJob job, JobCommand.Settle settle) throws ProxyException {
        check(
                settle.decision() != SettleDecision.RUN_AGAIN || job.state() != JobState.CANCELLED,
                ErrorKind.CONFLICT,
                "the job is cancelled; its items don't run again");
        mTable.changeItems(
                job.number(),
                settle.epochMillis(),
                false,
                transitions -> settle(transitions, settle));
    }

    private static boolean settle(ItemTransitions transitions, JobCommand.Settle settle) {
        int item = settle.item();
        return switch (settle.decision()) {
            case RUN_AGAIN -> transitions.runAgain(item);
            case MARK_FAILED -> transitions.settle(item, ItemEvent.GIVE_UP, 0, settle.result());
            case MARK_DONE -> transitions.settle(item, ItemEvent.COMPLETE, OK, settle.result());
        };
    }

    private static void check(boolean holds, ErrorKind kind, String detail) throws ProxyException {
        if (!holds) {
            throw ProxyException.of(kind, detail);
        }
    }

    @Override
    public byte[] snapshot() {
        return LedgerSnapshot.encode(mTable);
    }

    @Override
    public void restore(byte[] snapshot) {
        mTable = LedgerSnapshot.decode(snapshot);
    }

    /** Returns the number of reports dropped because the item had ended or was leased again. */
    public long dropped() {
        return mDropped;
    }

    /** Returns the bytes of all jobs: payloads plus overhead. */
    public long bytes() {
        return mTable.bytes();
    }

    /**
     * Returns the latest leader time carried by a command, in milliseconds since 1970; 0 before the
     * first command.
     */
    long lastCommandMillis() {
        return mTable.lastCommandMillis();
    }

    Optional<LedgerJob> job(OrganisationId organisation, JobId job) {
        return mTable.find(organisation, job);
    }

    Optional<LedgerJob> job(long number) {
        return mTable.find(number);
    }

    Stream<LedgerJob> jobs() {
        return mTable.jobs();
    }

    Stream<LedgerJob> jobs(OrganisationId organisation) {
        return mTable.jobs(organisation);
    }

    /** Returns the state of a lease's item, or empty if the ledger has no such item. */
    Optional<ItemState> itemState(LeaseRef lease) {
        return job(lease.job())
                .filter(job -> lease.item() >= 0 && lease.item() < job.items().size())
                .map(job -> job.items().state(lease.item()));
    }

    /**
     * Returns whether the bytes of the organisation and those of all jobs are within the limits up
     * to which results are stored.
     */
    boolean hasRoomForResults(OrganisationId organisation, JobLimits limits) {
        return mTable.hasRoomForResults(organisation, limits);
    }
}
