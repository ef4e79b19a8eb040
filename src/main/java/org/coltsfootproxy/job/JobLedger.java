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
 * The batch jobs and items of one group, driven by its replicated log.
 *
 * <p>It holds what must never be lost: jobs, item bodies, results, durable starts and verdicts.
 * Leases are the leader's alone and are not in it.
 */
public final class JobLedger implements StateMachine {
    private static final RecordCodec<JobCommand> COMMANDS = RecordCodec.of(JobCommand.class);
    private static final RecordCodec<JobOutcome> OUTCOMES = RecordCodec.of(JobOutcome.class);
    private static final int OK = 200;

    private JobShelf mShelf = JobShelf.create();
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
            mShelf.sawTime(command.epochMillis());
            return outcome;
        } catch (ProxyException e) {
            return new JobOutcome.Refused(e.kind(), e.getMessage());
        }
    }

    private JobOutcome apply(JobCommand command) throws ProxyException {
        if (command instanceof JobCommand.OpenTerm) {
            return new JobOutcome.Term(mShelf.nextTerm());
        } else if (command instanceof JobCommand.Submit submit) {
            return submit(submit);
        } else if (command instanceof JobCommand.Begin begin) {
            return accepted(begin(begin.organisation(), begin.spec(), begin, begin.limits()));
        } else if (command instanceof JobCommand.Append append) {
            LedgerJob job = mShelf.get(append.organisation(), append.job());
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
            return lose(lose);
        } else if (command instanceof JobCommand.Cancel cancel) {
            return cancel(cancel);
        } else if (command instanceof JobCommand.Settle settle) {
            return settle(settle);
        } else if (command instanceof JobCommand.Expire expire) {
            return new JobOutcome.Count(mShelf.removeExpired(expire));
        }
        throw new IllegalStateException("no step for " + command.getClass());
    }

    private static JobOutcome accepted(LedgerJob job) {
        return new JobOutcome.Accepted(job.status());
    }

    private JobOutcome submit(JobCommand.Submit submit) throws ProxyException {
        check(
                submit.items().size() == submit.spec().items(),
                ErrorKind.INVALID_JOB,
                "the job names another number of items than it brings");
        Optional<LedgerJob> known = mShelf.find(submit.organisation(), submit.spec().id());
        LedgerJob job = begin(submit.organisation(), submit.spec(), submit, submit.limits());
        try {
            append(job, 0, submit.items(), submit.limits(), submit.epochMillis());
        } catch (ProxyException e) {
            if (known.isEmpty()) {
                mShelf.remove(job);
            }
            throw e;
        }
        accept(job, submit.epochMillis());
        return accepted(job);
    }

    private LedgerJob begin(
            OrganisationId organisation, JobSpec spec, JobCommand command, JobLimits limits)
            throws ProxyException {
        Optional<LedgerJob> known = mShelf.find(organisation, spec.id());
        if (known.isPresent()) {
            check(
                    known.get().spec().isSameRequestAs(spec),
                    ErrorKind.CONFLICT,
                    "the job id was used with another path, deadline or number of items");
            return known.get();
        }
        check(
                spec.items() <= limits.itemsPerJob(),
                ErrorKind.INVALID_JOB,
                "the job has more than " + limits.itemsPerJob() + " items");
        check(
                spec.deadlineEpochMillis() > command.epochMillis(),
                ErrorKind.INVALID_JOB,
                "the deadline has passed");
        mShelf.checkRoom(organisation, spec.items(), limits);
        return mShelf.begin(organisation, spec, command.epochMillis());
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
        int known = Math.min(items.size(), Math.max(0, table.size() - offset));
        check(
                IntStream.range(0, known).allMatch(i -> table.isSame(offset + i, items.get(i))),
                ErrorKind.CONFLICT,
                "an item was received before with other content");
        if (job.state() == JobState.CANCELLED) {
            return;
        } else if (job.state() != JobState.RECEIVING) {
            check(known == items.size(), ErrorKind.CONFLICT, "the job takes no more items");
            return;
        }
        mShelf.append(job, items.subList(known, items.size()), limits);
        job.touch(epochMillis);
    }

    private JobOutcome commit(JobCommand.Commit commit) throws ProxyException {
        LedgerJob job = mShelf.get(commit.organisation(), commit.job());
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
                                        mShelf.change(
                                                lease.job(),
                                                start.epochMillis(),
                                                false,
                                                life ->
                                                        life.start(
                                                                lease,
                                                                start.agent().value(),
                                                                start.epochMillis())))
                        .toList());
    }

    private JobOutcome report(JobCommand.Report command) {
        List<ReportVerdict> verdicts = new ArrayList<>(command.reports().size());
        for (ItemReport report : command.reports()) {
            verdicts.add(
                    mShelf.change(
                            report.lease().job(),
                            command.epochMillis(),
                            ReportVerdict.DROPPED,
                            life -> life.report(report, command.retry(), command.epochMillis())));
        }
        mDropped += verdicts.stream().filter(v -> v == ReportVerdict.DROPPED).count();
        return new JobOutcome.Verdicts(verdicts);
    }

    private JobOutcome progress(JobCommand.Progress command) {
        long kept =
                command.items().stream()
                        .filter(
                                item ->
                                        mShelf.change(
                                                item.lease().job(),
                                                command.epochMillis(),
                                                false,
                                                life -> life.progress(item)))
                        .count();
        return new JobOutcome.Count((int) kept);
    }

    private JobOutcome lose(JobCommand.Lose lose) {
        long time = lose.epochMillis();
        long changed =
                lose.leases().stream()
                        .filter(
                                lease ->
                                        mShelf.change(
                                                lease.job(), time, false, l -> l.lose(lease, time)))
                        .count();
        return new JobOutcome.Count((int) changed);
    }

    private JobOutcome cancel(JobCommand.Cancel cancel) throws ProxyException {
        LedgerJob job = mShelf.get(cancel.organisation(), cancel.job());
        if (JobEvent.CHART.changes(job.state(), JobEvent.CANCEL)) {
            mShelf.cancel(job, cancel.epochMillis());
        }
        return accepted(job);
    }

    private JobOutcome settle(JobCommand.Settle settle) throws ProxyException {
        LedgerJob job = mShelf.get(settle.organisation(), settle.job());
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
        mShelf.change(job.number(), settle.epochMillis(), false, life -> settle(life, settle));
    }

    private static boolean settle(ItemLife life, JobCommand.Settle settle) {
        int item = settle.item();
        return switch (settle.decision()) {
            case RUN_AGAIN -> life.runAgain(item);
            case MARK_FAILED -> life.settle(item, ItemEvent.GIVE_UP, 0, settle.result());
            case MARK_DONE -> life.settle(item, ItemEvent.COMPLETE, OK, settle.result());
        };
    }

    private static void check(boolean holds, ErrorKind kind, String detail) throws ProxyException {
        if (!holds) {
            throw ProxyException.of(kind, detail);
        }
    }

    @Override
    public byte[] snapshot() {
        return LedgerSnapshot.encode(mShelf);
    }

    @Override
    public void restore(byte[] snapshot) {
        mShelf = LedgerSnapshot.decode(snapshot);
    }

    /**
     * Returns the number of reports dropped because the item had ended or was under another lease.
     */
    public long dropped() {
        return mDropped;
    }

    /** Returns payload bytes and overhead of all jobs. */
    public long bytes() {
        return mShelf.bytes();
    }

    /** Returns the latest time that a command has brought, 0 before the first one. */
    long lastMillis() {
        return mShelf.lastMillis();
    }

    Optional<LedgerJob> job(OrganisationId organisation, JobId job) {
        return mShelf.find(organisation, job);
    }

    Optional<LedgerJob> job(long number) {
        return mShelf.find(number);
    }

    Stream<LedgerJob> jobs() {
        return mShelf.jobs();
    }

    Stream<LedgerJob> jobs(OrganisationId organisation) {
        return mShelf.jobs(organisation);
    }

    /** Returns the state of a lease's item, if the job is known. */
    Optional<ItemState> itemState(LeaseRef lease) {
        return job(lease.job())
                .filter(job -> lease.item() >= 0 && lease.item() < job.items().size())
                .map(job -> job.items().state(lease.item()));
    }

    /** Tells whether an organisation's and all payloads leave room for further results. */
    boolean hasRoomForResults(OrganisationId organisation, JobLimits limits) {
        return mShelf.hasRoomForResults(organisation, limits);
    }
}
