package org.coltsfootproxy.direct;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.LongPredicate;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.Metric;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.base.TargetId;
import org.coltsfootproxy.base.Timers;
import org.coltsfootproxy.base.TrafficClass;
import org.coltsfootproxy.config.ConfigView;
import org.coltsfootproxy.config.Regions;
import org.coltsfootproxy.job.ItemPuller;
import org.coltsfootproxy.job.ItemRunner;
import org.coltsfootproxy.message.ItemReport;
import org.coltsfootproxy.message.JobMessage;
import org.coltsfootproxy.message.LeaseRef;
import org.coltsfootproxy.message.LeasedItem;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.quarantine.CrashQuarantine;

/**
 * Runs batch items at targets that this host calls directly.
 *
 * <p>An item whose call fails resumes at another target after its last complete event, so that no
 * output is produced twice. Only a failure that the target itself reports counts as an attempt of
 * the item.
 */
public final class ItemWorker {
    /** Pause before a retry, after no target could accept an item or after it was preempted. */
    private static final long RETRY_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** Interval between checks whether an item with a quarantined part can be sent again. */
    private static final long QUARANTINE_CHECK_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Time without data from a target after which its call is cancelled. */
    private static final long SILENCE_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /** Failed calls without progress after which an item is given back, to run at another host. */
    private static final int MAX_FAILURES_WITHOUT_PROGRESS = 20;

    /** Interval between checks for free slots; reports of other hosts arrive about that often. */
    private static final long SLOT_CHECK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Weight of the last run in the moving average of run times. */
    private static final double LAST_RUN_WEIGHT = 0.1;

    /** Assumed mean run time until a run has ended. */
    private static final long INITIAL_RUN_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final int UNPROCESSABLE = 422;
    private static final int INTERNAL_ERROR = 500;
    private static final int JOB_GROUP = 1;

    private final ItemPuller mPuller;
    private final TargetProtocol mProtocol;
    private final TargetCalls mCalls;
    private final Targets mTargets;
    private final ItemTrials mTrials;
    private final KeptSlots mKept;
    private final Supplier<ConfigView> mConfig;
    private final ItemRouting mRouting;
    private final Map<LeaseRef, ItemRun> mRuns = new HashMap<>();
    private final Timers<LeaseRef> mTimers = Timers.create();
    private final FreeBatchSlots mFreeSlots;
    private final ItemProgressSender mProgress;

    private int mWorkers;
    private boolean mIsStopping;
    private long mNextSlotCheck;
    private double mMeanRunNanos = INITIAL_RUN_NANOS;

    private ItemWorker(
            Incarnation incarnation,
            List<HostId> controls,
            TargetProtocol protocol,
            TargetCalls calls,
            Targets targets,
            CrashQuarantine quarantine,
            Supplier<ConfigView> config,
            ItemRouting routing) {
        mPuller =
                ItemPuller.create(JOB_GROUP, incarnation, ServiceId.ANY, 1, controls, new Runner());
        mProtocol = checkNotNull(protocol, "protocol");
        mCalls = checkNotNull(calls, "calls");
        mTargets = checkNotNull(targets, "targets");
        mTrials =
                new ItemTrials(quarantine, new SplittableRandom(incarnation.value()).nextDouble());
        mKept = new KeptSlots(targets);
        mConfig = checkNotNull(config, "config");
        mRouting = routing;
        mFreeSlots = new FreeBatchSlots(targets);
        mProgress = new ItemProgressSender(mPuller);
        mWorkers = controls.size();
    }

    /**
     * Returns a worker that runs nothing yet.
     *
     * @param incarnation incarnation of this host; a restart keeps it if the data folder is kept
     * @param controls hosts to pull items from, at least one
     * @param config returns the configuration in force
     * @param isConfirmedSince returns whether this configuration contains all that was in force at
     *     a given time
     * @param regions the regions of the data centres
     */
    public static ItemWorker create(
            Incarnation incarnation,
            List<HostId> controls,
            TargetProtocol protocol,
            TargetCalls calls,
            Targets targets,
            CrashQuarantine quarantine,
            Supplier<ConfigView> config,
            LongPredicate isConfirmedSince,
            Regions regions) {
        var routing = new ItemRouting(protocol, config, isConfirmedSince, regions);
        return new ItemWorker(
                incarnation, controls, protocol, calls, targets, quarantine, config, routing);
    }

    /**
     * Replaces the known hosts of the fleet.
     *
     * @param controls hosts to pull items from, at least one
     * @param workers number of hosts that run items, this one included
     */
    public void controls(List<HostId> controls, int workers) {
        checkArgument(workers > 0, "workers %s is below 1", workers);
        mWorkers = workers;
        mPuller.setControlHosts(controls);
    }

    /** Sets the host that leads the replicated log of jobs. */
    public void leader(HostId leader, long now) {
        mPuller.switchToLeader(leader, now);
    }

    /** Handles the loss of the connection to another host. */
    public void peerLost(HostId host, long now) {
        mPuller.peerLost(host, now);
    }

    /** Handles a message of the job leader. */
    public void handle(HostId from, JobMessage message, long now, Effects out) {
        mPuller.handle(from, message, now, out);
    }

    /** Stops pulling items because the host is stopping; items that run continue. */
    public void stop(long now, Effects out) {
        mIsStopping = true;
        mPuller.stop(now, out);
    }

    /** Runs and stops items on behalf of the puller. */
    private final class Runner implements ItemRunner {
        @Override
        public void run(LeasedItem item, long now, Effects out) {
            try {
                ItemCall.Post call = ItemCall.decode(item.body());
                ItemRun run =
                        ItemRun.of(
                                item,
                                call,
                                mProtocol.sharedPromptParts(call.headers()),
                                mProtocol.declaredSizes(call.headers()),
                                now);
                mRuns.put(item.lease(), run);
                send(run, now, out);
            } catch (ProxyException e) {
                out.log(EventCode.DUTY_FAILED, "item " + item.lease() + ": " + e.getMessage());
                report(
                        ItemReport.failed(
                                item.lease(), ItemReport.Outcome.REFUSED, e.getMessage(), 0),
                        now,
                        out);
            }
        }

        @Override
        public void stop(LeaseRef lease, long now, Effects out) {
            ItemRun run = mRuns.remove(lease);
            if (run != null) {
                mTimers.clear(lease);
                mCalls.cancel(run.targetCall(), out);
                releaseTarget(run, now);
                ItemLog.attemptEnded(run, "the lease of the item was revoked", out);
            }
        }
    }

    private void send(ItemRun run, long now, Effects out) {
        if (!mTargets.isConfirmed()) {
            // Another store that is in touch with the control hosts can run it.
            finish(run, ItemReport.givenBack(run.lease()), now, out);
            return;
        }
        ItemRouting.Step step = mRouting.apply(run);
        if (step == ItemRouting.Step.END) {
            ItemReport.Outcome outcome = ItemReport.Outcome.REFUSED;
            finish(
                    run,
                    ItemReport.failed(run.lease(), outcome, "the route was removed", 0),
                    now,
                    out);
            return;
        }
        if (step == ItemRouting.Step.WAIT) {
            mTimers.set(run.lease(), now + RETRY_PAUSE_NANOS);
            return;
        }
        if (!mTrials.maySend(run, mRuns.values(), now)) {
            mTimers.set(run.lease(), now + QUARANTINE_CHECK_INTERVAL_NANOS);
            return;
        }
        if (!canResume(run)) {
            ItemLog.begunAnew(run, mTargets.listing().number(), out);
            run.beginAnew();
        }
        Optional<Target> target = chooseTarget(run, now);
        if (target.isEmpty()) {
            run.forgetTried();
            mTimers.set(run.lease(), now + RETRY_PAUSE_NANOS);
            return;
        }
        start(run, target.get(), now, out);
    }

    private Optional<Target> chooseTarget(ItemRun run, long now) {
        ServiceId service = run.service();
        run.setEstimate(mTargets.work().estimate(service, run.features()));
        Predicate<Target> allowed =
                target -> run.allows(target) && mTargets.work().fits(target, run.estimate());
        Optional<Target> target =
                mFreeSlots.count(service, now) > 0
                        ? mTargets.chooseForBatch(service, allowed, mWorkers, now)
                        : Optional.empty();
        return target.isEmpty() && run.needsSlotNow(mMeanRunNanos, now)
                ? mTargets.chooseForUrgent(service, allowed, now)
                : target;
    }

    private void start(ItemRun run, Target target, long now, Effects out) {
        long call = mCalls.nextCall();
        Effect.TargetCall request = ItemTargetCall.of(run, target, call, mProtocol);
        run.sentTo(target, call, now);
        mTargets.work()
                .began(
                        target,
                        TrafficClass.BATCH,
                        call,
                        run.estimate(),
                        run.lastEvent().isEmpty(),
                        now);
        mTargets.callStarted(target, TrafficClass.BATCH, now);
        target.batchStarted(now);
        mFreeSlots.itemStarted(run.service());
        mKept.update(run, mMeanRunNanos, now);
        mCalls.start(target.listed().address(), request, new Answer(run), out);
        mTimers.set(run.lease(), now + SILENCE_TIMEOUT_NANOS);
        ItemLog.sent(run, target, mTargets.listing().number(), out);
    }

    /** Returns whether a target of the item's service may continue its output. */
    private boolean canResume(ItemRun run) {
        return run.hasOutputOfFormerService()
                ? mTargets.active(run.service()).noneMatch(run::isInAllowedRegion)
                : mTargets.canResume(
                        run.service(), run.version(), run.lastEvent(), run::isInAllowedRegion);
    }

    /** Cancels the calls with a quarantined part that wait at a target; their items wait here. */
    private void cancelQuarantined(long now, Effects out) {
        for (ItemRun run : mTrials.newlyQuarantined(mRuns.values())) {
            mCalls.cancel(run.targetCall(), out);
            releaseTarget(run, now);
            ItemLog.attemptEnded(run, "a part of the prompt was quarantined", out);
            mTimers.set(run.lease(), now + QUARANTINE_CHECK_INTERVAL_NANOS);
        }
    }

    /** Handles one target's answer to one item. */
    private final class Answer implements TargetCalls.Handler {
        private final ItemRun mRun;

        Answer(ItemRun run) {
            mRun = run;
        }

        @Override
        public void head(Input.TargetHead head, long now, Effects out) {
            TargetAnswer answer = mProtocol.read(head);
            Target target = mRun.target().orElseThrow();
            answer.load().ifPresent(load -> mTargets.updateLoad(target, load, now));
            if (answer.verdict() != TargetAnswer.Verdict.OTHER_TARGET) {
                mTargets.limitNamed(target, answer.requestsPerSecond(), mRun.sentAt(), now, out);
                answer.coldMillis().ifPresent(cold -> mTargets.coldNamed(target, cold, now, out));
            }
            if (answer.isLeaving()) {
                mTargets.saidLeaving(target, now, out);
            }
            if (answer.isSuccess() && answer.isEventStream()) {
                target.callSucceeded();
                mRun.answerStarted(now);
                return;
            }
            mCalls.ignore(mRun.targetCall(), target::callFailed);
            attemptRefused(mRun, target, answer, now, out);
        }

        @Override
        public void chunk(byte[] bytes, long now, Effects out) {
            boolean hadProgressed = mRun.hasProgressed();
            if (mRun.hasSuccess()) {
                mRun.append(bytes, now);
            }
            if (!hadProgressed && mRun.hasProgressed()) {
                mTrials.answerProgressed(mRun, now, out);
            }
            Optional<String> fault = mRun.fault();
            if (fault.isPresent()) {
                mCalls.cancel(mRun.targetCall(), out);
                discardTooLongOutput(mRun, out);
                attemptFailed(mRun, fault.get(), now, out);
            }
        }

        @Override
        public void ended(Input.TargetEnd end, long now, Effects out) {
            if (mRun.endsTooEarly(end)) {
                mTrials.answerCut(mRun, now, out);
                attemptFailed(mRun, "the stream ended too early", now, out);
                return;
            }
            mTargets.work()
                    .completed(
                            mRun.target().orElseThrow(),
                            mRun.features(),
                            mRun.targetCall(),
                            now,
                            out);
            releaseTarget(mRun, now);
            mMeanRunNanos += LAST_RUN_WEIGHT * (mRun.activeNanos(now) - mMeanRunNanos);
            finish(mRun, doneReport(mRun, now), now, out);
        }

        @Override
        public void failed(Input.TargetFailed failure, long now, Effects out) {
            if (failure.kind() == ErrorKind.ANSWER_CUT) {
                mTrials.answerCut(mRun, now, out);
            }
            attemptFailed(mRun, failure.kind().label() + ": " + failure.detail(), now, out);
        }
    }

    private void discardTooLongOutput(ItemRun run, Effects out) {
        if (run.hasTooLongOutput()) {
            ItemLog.begunAnew(run, mTargets.listing().number(), out);
            run.beginAnew();
        }
    }

    private static ItemReport doneReport(ItemRun run, long now) {
        return new ItemReport(
                run.lease(),
                ItemReport.Outcome.DONE,
                200,
                run.output(),
                "",
                Math.max(1, TimeUnit.NANOSECONDS.toMillis(run.activeNanos(now))));
    }

    private void attemptRefused(
            ItemRun run, Target target, TargetAnswer answer, long now, Effects out) {
        releaseTarget(run, now);
        String why = "the target answered " + answer.status();
        if (answer.verdict() == TargetAnswer.Verdict.OTHER_TARGET) {
            target.addressMoved(now);
        } else if (answer.verdict() == TargetAnswer.Verdict.NOT_RUN) {
            target.refused(now);
        } else if (answer.status() == UNPROCESSABLE || answer.status() == INTERNAL_ERROR) {
            boolean isFinal = answer.status() == UNPROCESSABLE;
            ItemReport.Outcome outcome =
                    isFinal ? ItemReport.Outcome.REFUSED : ItemReport.Outcome.ATTEMPT_FAILED;
            finish(run, ItemReport.failed(run.lease(), outcome, why, 0), now, out);
            return;
        } else {
            target.callFailed(now);
        }
        retry(run, why, now, out);
    }

    private void attemptFailed(ItemRun run, String why, long now, Effects out) {
        mTrials.callFailed(run, now);
        run.target().ifPresent(target -> target.callFailed(now));
        releaseTarget(run, now);
        retry(run, why, now, out);
    }

    private void retry(ItemRun run, String why, long now, Effects out) {
        ItemLog.attemptEnded(run, why, out);
        if (run.callFailed() >= MAX_FAILURES_WITHOUT_PROGRESS) {
            finish(run, ItemReport.givenBack(run.lease()), now, out);
        } else {
            send(run, now, out);
        }
    }

    private void releaseTarget(ItemRun run, long now) {
        mKept.release(run);
        run.target()
                .ifPresent(
                        target -> {
                            target.work().ended(run.targetCall());
                            mTargets.callEnded(target, TrafficClass.BATCH);
                        });
        run.leftTarget(now);
    }

    private void finish(ItemRun run, ItemReport report, long now, Effects out) {
        mRuns.remove(run.lease());
        mTimers.clear(run.lease());
        mNextSlotCheck = now;
        report(report, now, out);
    }

    private void report(ItemReport report, long now, Effects out) {
        ItemLog.reported(report, out);
        mPuller.itemEnded(report, now, out);
    }

    /** Carries out the work that is due. */
    public void tick(long now, Effects out) {
        cancelQuarantined(now, out);
        Optional<LeaseRef> due = mTimers.pollDue(now);
        while (due.isPresent()) {
            Optional.ofNullable(mRuns.get(due.get()))
                    .ifPresent(run -> checkProgress(run, now, out));
            due = mTimers.pollDue(now);
        }
        mPuller.tick(now, out);
        if (now - mNextSlotCheck >= 0) {
            mNextSlotCheck = now + SLOT_CHECK_INTERVAL_NANOS;
            mKept.update(mRuns.values(), mMeanRunNanos, now);
            mProgress.send(mRuns.values(), now, out);
            offerSlots(now, out);
        }
    }

    private void checkProgress(ItemRun run, long now, Effects out) {
        if (run.target().isEmpty()) {
            send(run, now, out);
        } else if (now - run.lastActivity() >= SILENCE_TIMEOUT_NANOS) {
            mCalls.cancel(run.targetCall(), out);
            attemptFailed(
                    run,
                    ErrorKind.TARGET_TIMEOUT.label()
                            + ": the target sent nothing before the silence timeout",
                    now,
                    out);
        } else {
            mTimers.set(run.lease(), run.lastActivity() + SILENCE_TIMEOUT_NANOS);
        }
    }

    /**
     * Preempts the item with the most slack at a target, to free its slot for an online request.
     */
    public void preemptItem(TargetId target, long now, Effects out) {
        mRuns.values().stream()
                .filter(run -> run.target().filter(t -> t.listed().id().equals(target)).isPresent())
                .filter(run -> !run.isKept())
                .max(Comparator.comparingLong(run -> run.slackNanos(mMeanRunNanos, now)))
                .ifPresent(run -> preempt(run, now, out));
    }

    private void preempt(ItemRun run, long now, Effects out) {
        mFreeSlots.itemPreempted(run.service(), now);
        mCalls.cancel(run.targetCall(), out);
        releaseTarget(run, now);
        ItemLog.attemptEnded(run, "preempted by an online request", out);
        out.measure(Metric.BATCH_STOPPED, "", "", 1);
        run.forgetTried();
        mTimers.set(run.lease(), now + RETRY_PAUSE_NANOS);
    }

    /** Offers the puller this host's share of the free slots, less the items that wait here. */
    private void offerSlots(long now, Effects out) {
        List<ServiceId> services = mConfig.get().batchServices();
        int slots = services.stream().flatMap(mTargets::active).mapToInt(Target::slots).sum();
        long quarantined = mTrials.waiting(mRuns.values());
        mPuller.setCapacity((int) (Math.max(1, slots / mWorkers) + quarantined));
        int free = services.stream().mapToInt(service -> mFreeSlots.count(service, now)).sum();
        long waiting =
                mRuns.values().stream().filter(run -> run.target().isEmpty()).count() - quarantined;
        // One item is pulled even if no slot is free, so that this host can see when its deadline
        // allows no further wait.
        long capacity = Math.max(1, (free + mWorkers - 1) / mWorkers) - waiting;
        boolean mayPull = !mIsStopping && mTargets.isConfirmed();
        mPuller.setFreeSlots(mayPull ? (int) Math.max(0, capacity) : 0, now, out);
    }

    /** Returns the time of the next due {@link #tick}. */
    public long nextTickNanos() {
        return Math.min(mNextSlotCheck, Math.min(mTimers.next(), mPuller.nextTickNanos()));
    }

    /** Returns whether no item runs and all reports were accepted. */
    public boolean isDrained() {
        return mRuns.isEmpty() && mPuller.isDrained();
    }
}
