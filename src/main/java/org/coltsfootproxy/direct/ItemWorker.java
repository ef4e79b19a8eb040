package org.coltsfootproxy.direct;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.Metric;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.base.TargetId;
import org.coltsfootproxy.base.Timers;
import org.coltsfootproxy.base.TrafficClass;
import org.coltsfootproxy.config.ConfigView;
import org.coltsfootproxy.config.RequestKind;
import org.coltsfootproxy.config.Route;
import org.coltsfootproxy.job.ItemPuller;
import org.coltsfootproxy.job.ItemRunner;
import org.coltsfootproxy.message.ItemProgress;
import org.coltsfootproxy.message.ItemReport;
import org.coltsfootproxy.message.JobMessage;
import org.coltsfootproxy.message.LeaseRef;
import org.coltsfootproxy.message.LeasedItem;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.node.LogField;

/**
 * Runs batch items at targets that this host calls itself.
 *
 * <p>An item whose target breaks off goes on at another one after its last whole event, so that
 * nothing is made twice. Only a target's own failure counts as an attempt of the item.
 */
public final class ItemWorker {
    /** Pause before an item is tried again after all targets have refused or broken off. */
    private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** Silence after which a target that runs an item is given up. */
    private static final long SILENT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /** Breaks without any progress after which an item goes back to be run elsewhere. */
    private static final int MAX_BREAKS = 20;

    /** Time between two looks at how many slots are free: what hosts tell comes that often. */
    private static final long LOOK_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /**
     * Time between two messages with what items have made: a fifth of a usual run of some seconds,
     * so that a lost host costs a tenth of a run in the mean.
     */
    private static final long PROGRESS_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Most bytes of output in one message; the rest goes with the next. */
    private static final int MAX_PROGRESS_BYTES = 256 << 10;

    /** Weight of the last run in the mean time of a run. */
    private static final double WEIGHT_OF_LAST = 0.1;

    /** Mean time of a run as long as none has ended. */
    private static final long FIRST_RUN_NANOS = TimeUnit.SECONDS.toNanos(1);

    private static final int NEVER_DONE = 422;
    private static final int FAILED = 500;
    private static final int GROUP = 1;

    private final ItemPuller mPuller;
    private final TargetProtocol mProtocol;
    private final TargetCalls mCalls;
    private final Targets mTargets;
    private final Supplier<ConfigView> mConfig;
    private final Map<LeaseRef, ItemRun> mRuns = new HashMap<>();
    private final Timers<LeaseRef> mTimers = Timers.create();
    private int mWorkers;
    private boolean mIsStopping;
    private long mNextLook;
    private long mNextProgress;
    private double mRunNanos = FIRST_RUN_NANOS;

    private ItemWorker(
            Incarnation incarnation,
            List<HostId> controls,
            TargetProtocol protocol,
            TargetCalls calls,
            Targets targets,
            Supplier<ConfigView> config) {
        mPuller = ItemPuller.create(GROUP, incarnation, ServiceId.ANY, 1, controls, new Runner());
        mProtocol = checkNotNull(protocol, "protocol");
        mCalls = checkNotNull(calls, "calls");
        mTargets = checkNotNull(targets, "targets");
        mConfig = checkNotNull(config, "config");
        mWorkers = controls.size();
    }

    /**
     * Returns a worker that runs nothing yet.
     *
     * @param incarnation this life of the host
     * @param controls hosts to ask for items, at least one
     * @param config tells the configuration in force
     */
    public static ItemWorker create(
            Incarnation incarnation,
            List<HostId> controls,
            TargetProtocol protocol,
            TargetCalls calls,
            Targets targets,
            Supplier<ConfigView> config) {
        return new ItemWorker(incarnation, controls, protocol, calls, targets, config);
    }

    /**
     * Replaces the hosts of the fleet.
     *
     * @param controls hosts to ask for items, at least one
     * @param workers number of hosts that run items, this one included
     */
    public void controls(List<HostId> controls, int workers) {
        checkArgument(workers > 0, "workers %s is below 1", workers);
        mWorkers = workers;
        mPuller.controls(controls);
    }

    /** Tells which host leads the log of the jobs. */
    public void leader(HostId leader, long now) {
        mPuller.leader(leader, now);
    }

    /** A connection to another host was lost. */
    public void peerLost(HostId host, long now) {
        mPuller.peerLost(host, now);
    }

    /** Handles a message of the leader of the jobs. */
    public void handle(HostId from, JobMessage message, long now, Effects out) {
        mPuller.handle(from, message, now, out);
    }

    /** Takes no further items, as the host stops; what runs goes on. */
    public void stop(long now, Effects out) {
        mIsStopping = true;
        mPuller.stop(now, out);
    }

    /** Carries out what the puller decides. */
    private final class Runner implements ItemRunner {
        @Override
        public void run(LeasedItem item, long now, Effects out) {
            try {
                ItemRun run = ItemRun.of(item, ItemCall.decode(item.body()), now);
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
                leave(run, now);
                logTry(run, "the item was revoked", out);
            }
        }
    }

    private void send(ItemRun run, long now, Effects out) {
        ServiceId service = run.item().service();
        Optional<Target> target = mTargets.chooseForBatch(service, run.tried(), mWorkers, now);
        if (target.isEmpty() && run.needsPlace(mRunNanos, now)) {
            target = mTargets.chooseForUrgent(service, run.tried(), now);
        }
        if (target.isEmpty()) {
            run.tried().clear();
            mTimers.set(run.lease(), now + PAUSE_NANOS);
            return;
        }
        long call = mCalls.nextCall();
        TargetRequest extra =
                new TargetRequest(
                        target.get().listed().id(),
                        Optional.of(OrganisationId.of(run.item().organisation())),
                        run.item().timeoutMillis(),
                        run.lastEvent());
        Effect.TargetCall request =
                new Effect.TargetCall(
                        call,
                        TrafficClass.BATCH,
                        run.item().method(),
                        run.call().path(),
                        mProtocol.headers(run.call().headers(), extra),
                        run.call().body(),
                        TimeUnit.MILLISECONDS.toNanos(run.item().timeoutMillis()));
        run.sentTo(target.get(), call, now);
        mTargets.began(target.get(), TrafficClass.BATCH);
        target.get().batchBegun(now);
        updateKept(run, now);
        mCalls.start(target.get().listed().address(), request, new Answer(run), out);
        mTimers.set(run.lease(), now + SILENT_NANOS);
        out.log(
                EventCode.ITEM_SENT,
                LogField.of("job", run.lease().job()),
                LogField.of("item", run.lease().item()),
                LogField.of("lease", run.lease().fence()),
                LogField.of("target", target.get().listed().id()),
                LogField.of("online", target.get().online()),
                LogField.of("batch", target.get().batch()),
                LogField.of("listing", mTargets.listing().number()),
                LogField.of("after", run.lastEvent().orElse("")));
    }

    /** What one target says about one item. */
    private final class Answer implements TargetCalls.Handler {
        private final ItemRun mRun;

        Answer(ItemRun run) {
            mRun = run;
        }

        @Override
        public void head(Input.TargetHead head, long now, Effects out) {
            TargetAnswer answer = mProtocol.read(head);
            Target target = mRun.target().orElseThrow();
            answer.load().ifPresent(load -> target.told(load, now));
            if (answer.isSuccess()) {
                target.answered();
                mRun.began(now);
                return;
            }
            mCalls.ignore(mRun.targetCall());
            refused(mRun, target, answer, now, out);
        }

        @Override
        public void chunk(byte[] bytes, long now, Effects out) {
            if (mRun.hasSuccess()) {
                mRun.take(bytes, now);
            }
        }

        @Override
        public void ended(long now, Effects out) {
            if (mRun.isInEvent()) {
                broken(mRun, "ended within an event", now, out);
                return;
            }
            leave(mRun, now);
            mRunNanos += WEIGHT_OF_LAST * (mRun.activeNanos(now) - mRunNanos);
            end(mRun, done(mRun, now), now, out);
        }

        @Override
        public void failed(Input.TargetFailed failure, long now, Effects out) {
            broken(mRun, failure.kind().label() + ": " + failure.detail(), now, out);
        }
    }

    private static ItemReport done(ItemRun run, long now) {
        return new ItemReport(
                run.lease(),
                ItemReport.Outcome.DONE,
                200,
                run.output(),
                "",
                Math.max(1, TimeUnit.NANOSECONDS.toMillis(run.activeNanos(now))));
    }

    private void refused(ItemRun run, Target target, TargetAnswer answer, long now, Effects out) {
        leave(run, now);
        String why = "the target answered " + answer.status();
        if (answer.verdict() == TargetAnswer.Verdict.OTHER_TARGET) {
            target.moved(now);
        } else if (answer.verdict() == TargetAnswer.Verdict.NOT_RUN) {
            target.refused(now);
        } else if (answer.status() == NEVER_DONE || answer.status() == FAILED) {
            boolean isLast = answer.status() == NEVER_DONE;
            ItemReport.Outcome outcome =
                    isLast ? ItemReport.Outcome.REFUSED : ItemReport.Outcome.ATTEMPT_FAILED;
            end(run, ItemReport.failed(run.lease(), outcome, why, 0), now, out);
            return;
        } else {
            target.broke(now);
        }
        again(run, why, now, out);
    }

    private void broken(ItemRun run, String why, long now, Effects out) {
        run.target().ifPresent(target -> target.broke(now));
        leave(run, now);
        again(run, why, now, out);
    }

    private void again(ItemRun run, String why, long now, Effects out) {
        logTry(run, why, out);
        if (run.broke() >= MAX_BREAKS) {
            end(run, ItemReport.givenBack(run.lease()), now, out);
        } else {
            send(run, now, out);
        }
    }

    private void leave(ItemRun run, long now) {
        if (run.isKept()) {
            kept(run, false);
        }
        run.target().ifPresent(target -> mTargets.ended(target, TrafficClass.BATCH));
        run.leftTarget(now);
    }

    private static void logTry(ItemRun run, String why, Effects out) {
        out.log(
                EventCode.ITEM_TRY_ENDED,
                LogField.of("job", run.lease().job()),
                LogField.of("item", run.lease().item()),
                LogField.of("lease", run.lease().fence()),
                LogField.of("why", why),
                LogField.of("after", run.lastEvent().orElse("")));
    }

    private void end(ItemRun run, ItemReport report, long now, Effects out) {
        mRuns.remove(run.lease());
        mTimers.clear(run.lease());
        mNextLook = now;
        report(report, now, out);
    }

    private void report(ItemReport report, long now, Effects out) {
        out.log(
                EventCode.ITEM_REPORTED,
                LogField.of("job", report.lease().job()),
                LogField.of("item", report.lease().item()),
                LogField.of("lease", report.lease().fence()),
                LogField.of("outcome", report.outcome()),
                LogField.of("why", report.error()),
                LogField.of("bytes", report.body().length));
        mPuller.ended(report, now, out);
    }

    /** Does whatever is due. */
    public void tick(long now, Effects out) {
        Optional<LeaseRef> due = mTimers.pollDue(now);
        while (due.isPresent()) {
            Optional.ofNullable(mRuns.get(due.get())).ifPresent(run -> look(run, now, out));
            due = mTimers.pollDue(now);
        }
        mPuller.tick(now, out);
        if (now - mNextLook >= 0) {
            mNextLook = now + LOOK_NANOS;
            updateKept(now);
            tellProgress(now, out);
            offerSlots(now, out);
        }
    }

    private void look(ItemRun run, long now, Effects out) {
        if (run.target().isEmpty()) {
            send(run, now, out);
        } else if (now - run.heard() >= SILENT_NANOS) {
            mCalls.cancel(run.targetCall(), out);
            broken(run, ErrorKind.TARGET_TIMEOUT.label() + ": the target is silent", now, out);
        } else {
            mTimers.set(run.lease(), run.heard() + SILENT_NANOS);
        }
    }

    /** Stops an item at a target, so that an online request gets its slot at once. */
    public void makeRoom(TargetId target, long now, Effects out) {
        mRuns.values().stream()
                .filter(run -> run.target().filter(t -> t.listed().id().equals(target)).isPresent())
                .filter(run -> !run.isKept())
                .max(Comparator.comparingLong(run -> run.spareNanos(mRunNanos, now)))
                .ifPresent(run -> pause(run, now, out));
    }

    private void tellProgress(long now, Effects out) {
        if (now - mNextProgress < 0) {
            return;
        }
        mNextProgress = now + PROGRESS_NANOS;
        List<ItemProgress> items = new ArrayList<>();
        int bytes = 0;
        for (ItemRun run : mRuns.values()) {
            Optional<ItemProgress> progress =
                    bytes < MAX_PROGRESS_BYTES ? run.takeProgress() : Optional.empty();
            progress.ifPresent(items::add);
            bytes += progress.map(p -> p.piece().bytes().length).orElse(0);
        }
        if (!items.isEmpty()) {
            mPuller.progress(items, out);
        }
    }

    /** Tells the other hosts which items no longer make room, or do so again. */
    private void updateKept(long now) {
        mRuns.values().stream()
                .filter(run -> run.target().isPresent())
                .forEach(run -> updateKept(run, now));
    }

    private void updateKept(ItemRun run, long now) {
        boolean needsPlace = run.needsPlace(mRunNanos, now);
        if (run.isKept() && !needsPlace) {
            kept(run, false);
        } else if (!run.isKept() && needsPlace && Targets.mayKeep(run.target().orElseThrow())) {
            kept(run, true);
        }
    }

    private void kept(ItemRun run, boolean isKept) {
        run.kept(isKept);
        mTargets.kept(run.target().orElseThrow(), isKept);
    }

    private void pause(ItemRun run, long now, Effects out) {
        mCalls.cancel(run.targetCall(), out);
        leave(run, now);
        logTry(run, "made room for an online request", out);
        out.measure(Metric.BATCH_STOPPED, "", "", 1);
        run.tried().clear();
        mTimers.set(run.lease(), now + PAUSE_NANOS);
    }

    /** Takes this host's part of the slots that are free, once its own items have theirs. */
    private void offerSlots(long now, Effects out) {
        List<Target> targets =
                mConfig.get()
                        .routes()
                        .filter(route -> route.policy().kind() == RequestKind.BATCH)
                        .flatMap(Route::services)
                        .distinct()
                        .flatMap(mTargets::staying)
                        .toList();
        int slots = targets.stream().mapToInt(Target::slots).sum();
        mPuller.setCapacity(Math.max(1, slots / mWorkers));
        int room = targets.stream().mapToInt(target -> Targets.batchRoom(target, now)).sum();
        long waiting = mRuns.values().stream().filter(run -> run.target().isEmpty()).count();
        // One item waits here even without room, so that it is noticed once it can't wait longer.
        long free = Math.max(1, (room + mWorkers - 1) / mWorkers) - waiting;
        mPuller.slotsFree(mIsStopping ? 0 : (int) Math.max(0, free), now, out);
    }

    /** Returns the time of the next due {@link #tick}. */
    public long nextTickNanos() {
        return Math.min(mNextLook, Math.min(mTimers.next(), mPuller.nextTickNanos()));
    }

    /** Tells whether nothing runs and all reports were taken. */
    public boolean isDrained() {
        return mRuns.isEmpty() && mPuller.isDrained();
    }
}
