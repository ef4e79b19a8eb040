package org.coltsfootproxy.job;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.IntStream;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Metric;
import org.coltsfootproxy.base.TrafficClass;
import org.coltsfootproxy.message.ItemProgress;
import org.coltsfootproxy.message.ItemReport;
import org.coltsfootproxy.message.ItemState;
import org.coltsfootproxy.message.JobMessage;
import org.coltsfootproxy.message.LeaseRef;
import org.coltsfootproxy.message.ReportVerdict;

/**
 * Proposes agents' durable starts, reports and partial output to the ledger, and answers starts and
 * reports after the commit.
 */
final class ReportHandler {
    private static final int MAX_COMMANDS_IN_FLIGHT = 2;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final int mGroup;
    private final LeaderState mState;
    private final CommandLog mLog;
    private final StepContext mStep;
    private final LeaseManager mLeaseManager;
    private final ReportBatch mBatch = new ReportBatch();
    private int mCommandsInFlight;
    private long mDropped;

    ReportHandler(int group, LeaderState state, CommandLog log, LeaseManager leases) {
        mGroup = group;
        mState = state;
        mLog = log;
        mStep = state.step();
        mLeaseManager = leases;
    }

    void clear() {
        mBatch.clear();
    }

    /** Returns the number of reports that were dropped without a command. */
    long dropped() {
        return mDropped;
    }

    void start(AgentSession session, JobMessage.Start start) {
        HostId agent = session.agent();
        Map<Boolean, List<LeaseRef>> byHeld =
                start.leases().stream()
                        .collect(
                                java.util.stream.Collectors.partitioningBy(
                                        ref -> mLeaseManager.renewOrTakeOver(session, ref)));
        if (byHeld.get(true).isEmpty()) {
            mStep.send(agent, new JobMessage.Started(mGroup, List.of(), byHeld.get(false)));
            return;
        }
        setBusy(agent, byHeld.get(true), true);
        mLog.propose(
                new JobCommand.Start(
                        mStep.epochMillis(), agent, session.incarnation(), byHeld.get(true)),
                outcome -> onStarted(agent, byHeld, (JobOutcome.Starts) outcome),
                kind -> {
                    setBusy(agent, byHeld.get(true), false);
                    onFailure(kind);
                });
    }

    private void setBusy(HostId agent, List<LeaseRef> refs, boolean isBusy) {
        refs.stream()
                .flatMap(ref -> mState.leaseTable().held(agent, ref).stream())
                .forEach(lease -> lease.setBusy(isBusy));
    }

    private void onStarted(
            HostId agent, Map<Boolean, List<LeaseRef>> byHeld, JobOutcome.Starts starts) {
        List<LeaseRef> granted = new ArrayList<>();
        List<LeaseRef> refused = new ArrayList<>(byHeld.get(false));
        List<LeaseRef> proposed = byHeld.get(true);
        IntStream.range(0, proposed.size())
                .forEach(i -> (starts.granted().get(i) ? granted : refused).add(proposed.get(i)));
        setBusy(agent, proposed, false);
        mState.addUnrecordedLosses(
                granted.stream().filter(r -> !mState.leaseTable().isLeased(r)).toList());
        mState.release(refused);
        mStep.send(agent, new JobMessage.Started(mGroup, granted, refused));
    }

    private void onFailure(ErrorKind kind) {
        if (kind == ErrorKind.STORAGE_FULL) {
            mLeaseManager.pauseGrants();
        }
    }

    void report(AgentSession session, JobMessage.Report message) {
        List<JobMessage.Reported.Settled> settled = new ArrayList<>();
        for (ItemReport report : message.reports()) {
            decide(session, report)
                    .ifPresent(
                            verdict ->
                                    settled.add(
                                            new JobMessage.Reported.Settled(
                                                    report.lease(), verdict)));
        }
        if (!settled.isEmpty()) {
            mStep.send(session.agent(), new JobMessage.Reported(mGroup, settled));
        }
        flush();
    }

    /**
     * Proposes the partial output of leased items. Output that can't be stored is dropped; if the
     * run is lost, a later run produces it again.
     */
    void progress(AgentSession session, JobMessage.Progress message) {
        List<ItemProgress> held =
                message.items().stream()
                        .filter(
                                item ->
                                        mState.leaseTable()
                                                .held(session.agent(), item.lease())
                                                .isPresent())
                        .filter(item -> canStoreOutput(item.lease()))
                        .toList();
        if (!held.isEmpty()) {
            mLog.propose(
                    new JobCommand.Progress(mStep.epochMillis(), held),
                    outcome -> {},
                    this::onFailure);
        }
    }

    private boolean canStoreOutput(LeaseRef lease) {
        return mState.ledger()
                .job(lease.job())
                .filter(
                        job ->
                                mState.ledger()
                                        .hasRoomForResults(
                                                job.organisation(), mState.settings().limits()))
                .isPresent();
    }

    /**
     * Returns the verdict on a report that needs no command. Returns empty if the report is queued
     * for the ledger, or if the agent must resend it because the lease is busy or the queue is
     * full.
     */
    private Optional<ReportVerdict> decide(AgentSession session, ItemReport report) {
        LeaseRef ref = report.lease();
        Optional<ItemLease> current = mState.leaseTable().current(ref);
        boolean isHeld = mState.leaseTable().held(session.agent(), ref).isPresent();
        Optional<ItemState> state = mState.ledger().itemState(ref);
        if (state.isEmpty() || state.get() == ItemState.DONE || state.get() == ItemState.FAILED) {
            return Optional.of(drop(ref, ReportVerdict.DROPPED));
        } else if (state.get() == ItemState.CANCELLED) {
            return Optional.of(drop(ref, ReportVerdict.CANCELLED));
        } else if (state.get() == ItemState.WAITING
                && current.isPresent()
                && !isHeld
                && !isFailure(report)) {
            return Optional.of(drop(ref, ReportVerdict.DROPPED));
        } else if (isHeld && current.get().isBusy()) {
            return Optional.empty();
        } else if (state.get() == ItemState.WAITING && isGivenBack(report)) {
            giveBack(ref);
            return Optional.of(ReportVerdict.RECORDED);
        }
        if (mBatch.add(session.agent(), report) && isHeld) {
            current.get().setBusy(true);
        }
        return Optional.empty();
    }

    /**
     * Returns whether a report tells a failure, which counts under a lost lease as well. Otherwise
     * an item that fails at each run would be run more often than its job allows.
     */
    private static boolean isFailure(ItemReport report) {
        return report.outcome() == ItemReport.Outcome.REFUSED
                || report.outcome() == ItemReport.Outcome.ATTEMPT_FAILED;
    }

    private static boolean isGivenBack(ItemReport report) {
        return report.outcome() == ItemReport.Outcome.GIVEN_BACK;
    }

    private ReportVerdict drop(LeaseRef ref, ReportVerdict verdict) {
        mDropped++;
        mState.leaseTable().remove(ref);
        return verdict;
    }

    private void giveBack(LeaseRef ref) {
        mState.ledger()
                .job(ref.job())
                .ifPresent(
                        job ->
                                mState.share()
                                        .correct(
                                                job.organisation(),
                                                -mState.runTimes().seconds(job)));
        mState.release(List.of(ref));
    }

    /**
     * Proposes the queued reports, unless {@value #MAX_COMMANDS_IN_FLIGHT} commands are in flight.
     */
    void flush() {
        while (!mBatch.isEmpty() && mCommandsInFlight < MAX_COMMANDS_IN_FLIGHT) {
            List<ReportBatch.Entry> entries = mBatch.take();
            mCommandsInFlight++;
            mLog.propose(
                    new JobCommand.Report(
                            mStep.epochMillis(),
                            entries.stream().map(ReportBatch.Entry::report).toList(),
                            mState.settings().retry()),
                    outcome -> onReported(entries, (JobOutcome.Verdicts) outcome),
                    kind -> failed(entries, kind));
        }
    }

    private void failed(List<ReportBatch.Entry> entries, ErrorKind kind) {
        mCommandsInFlight--;
        entries.forEach(
                entry ->
                        mState.leaseTable()
                                .held(entry.agent(), entry.report().lease())
                                .ifPresent(lease -> lease.setBusy(false)));
        onFailure(kind);
    }

    private void onReported(List<ReportBatch.Entry> entries, JobOutcome.Verdicts outcome) {
        mCommandsInFlight--;
        Map<HostId, List<JobMessage.Reported.Settled>> byAgent = new LinkedHashMap<>();
        for (int i = 0; i < entries.size(); i++) {
            ReportBatch.Entry entry = entries.get(i);
            ReportVerdict verdict = outcome.verdicts().get(i);
            applyVerdict(entry.report(), verdict);
            byAgent.computeIfAbsent(entry.agent(), agent -> new ArrayList<>())
                    .add(new JobMessage.Reported.Settled(entry.report().lease(), verdict));
        }
        byAgent.forEach(
                (agent, settled) -> mStep.send(agent, new JobMessage.Reported(mGroup, settled)));
        flush();
    }

    private void applyVerdict(ItemReport report, ReportVerdict verdict) {
        LeaseRef ref = report.lease();
        if (mState.leaseTable().remove(ref) || verdict != ReportVerdict.DROPPED) {
            mState.requeue(ref);
        }
        mLeaseManager.revokeEnded(ref);
        mState.ledger().job(ref.job()).ifPresent(job -> applyVerdict(job, report, verdict));
    }

    private void applyVerdict(LedgerJob job, ItemReport report, ReportVerdict verdict) {
        if (verdict == ReportVerdict.RECORDED && report.runMillis() > 0) {
            double seconds = report.runMillis() / MILLIS_PER_SECOND;
            double expected = mState.runTimes().seconds(job);
            mState.share().correct(job.organisation(), seconds - expected);
            mState.runTimes().add(job, seconds);
        }
        if (verdict == ReportVerdict.RECORDED && report.outcome() == ItemReport.Outcome.DONE) {
            mStep.measure(
                    Metric.ITEMS_COMPLETED,
                    job.organisation().value(),
                    TrafficClass.BATCH.name(),
                    1);
        }
        mState.jobChanged(job);
    }
}
