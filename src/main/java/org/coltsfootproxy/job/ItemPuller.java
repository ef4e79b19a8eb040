package org.coltsfootproxy.job;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.List;
import java.util.stream.Stream;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.message.ItemProgress;
import org.coltsfootproxy.message.ItemReport;
import org.coltsfootproxy.message.JobMessage;
import org.coltsfootproxy.message.LeaseRef;
import org.coltsfootproxy.message.LeasedItem;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Node;

/**
 * Runs the batch items of one group on an agent. It pulls items while slots are idle, renews their
 * leases, and resends reports of ended items until they are acknowledged.
 *
 * <p>Single-threaded and deterministic like a {@link Node}. It holds at most one lot of waiting
 * items and stops pulling while too many bytes of reports are unacknowledged, so its memory is
 * bounded.
 */
public final class ItemPuller {
    private static final long MILLI_NANOS = EpochClock.NANOS_PER_MILLI;
    private static final long ANSWER_TIMEOUT_NANOS = 3_000 * MILLI_NANOS;
    private static final long INITIAL_LEASE_NANOS = 6_000 * MILLI_NANOS;

    /**
     * Time without idle slots after which waiting items are given back and the pull is withdrawn.
     */
    private static final long NO_SLOTS_TIMEOUT_NANOS = 1_000 * MILLI_NANOS;

    private static final int RENEWALS_PER_LEASE = 3;
    private static final long MAX_UNREPORTED_BYTES = 8L << 20;

    private final int mGroup;
    private final Incarnation mIncarnation;
    private final ServiceId mService;
    private final ItemRunner mRunner;
    private final ControlHostSelector mControl;
    private final ReportOutbox mOutbox;
    private final HeldItems mHeld = new HeldItems();
    private int mCapacity;
    private int mSlots;
    private long mNoSlotsSinceNanos;
    private long mSequence;
    private long mPullSequence;
    private long mRenewSequence;
    private long mHighestFence;
    private boolean mIsPullPending;
    private boolean mIsRenewalPending;
    private int mPullSlots;
    private long mRenewalSentNanos;
    private long mStartSentNanos;
    private long mNextRenewalNanos;
    private long mLeaseNanos = INITIAL_LEASE_NANOS;
    private boolean mIsStopping;

    private ItemPuller(
            int group,
            Incarnation incarnation,
            ServiceId service,
            int capacity,
            List<HostId> controls,
            ItemRunner runner) {
        mGroup = group;
        mIncarnation = incarnation;
        mService = service;
        mCapacity = capacity;
        mRunner = runner;
        mControl = ControlHostSelector.of(controls, incarnation.value());
        mOutbox = new ReportOutbox(group, incarnation);
    }

    /**
     * Returns a puller that holds no items.
     *
     * @param group group of the replicated log, from 1
     * @param incarnation incarnation of the agent
     * @param capacity number of items that can run concurrently if nothing else runs
     * @param controls control hosts of the group
     */
    public static ItemPuller create(
            int group,
            Incarnation incarnation,
            ServiceId service,
            int capacity,
            List<HostId> controls,
            ItemRunner runner) {
        checkArgument(group > 0, "group %s is below 1", group);
        checkArgument(capacity > 0, "capacity %s is below 1", capacity);
        checkNotNull(incarnation, "incarnation is missing");
        checkNotNull(service, "service is missing");
        checkNotNull(runner, "runner is missing");
        return new ItemPuller(group, incarnation, service, capacity, controls, runner);
    }

    /**
     * Sets how many further batch items can run at the target now.
     *
     * <p>Must be called on each change. Waiting items are run at once while slots are idle.
     */
    public void setFreeSlots(int slots, long nowNanos, Effects out) {
        checkArgument(slots >= 0, "slots %s is below 0", slots);
        if (slots == 0 && mSlots > 0) {
            mNoSlotsSinceNanos = nowNanos;
        }
        mSlots = slots;
        runDueWork(nowNanos, out);
    }

    /** Replaces the control hosts, at least one. */
    public void setControlHosts(List<HostId> controls) {
        mControl.controls(controls);
    }

    /**
     * Switches to this control host, which is known to lead. Leases of an earlier leader are
     * renewed there soon, as a new leader accepts them only during a short grace period.
     */
    public void switchToLeader(HostId leader, long nowNanos) {
        if (mControl.knows(leader) && !mControl.isCurrent(leader)) {
            mControl.redirect(leader, nowNanos);
            resetPendingRequests(nowNanos);
        }
    }

    /**
     * Handles the loss of a connection: if it was to the current control host, switches to the next
     * one.
     */
    public void peerLost(HostId host, long nowNanos) {
        if (mControl.isCurrent(host) && !mControl.isPausing(nowNanos)) {
            mControl.next(nowNanos);
            resetPendingRequests(nowNanos);
        }
    }

    /** Sets the number of items that can run concurrently if nothing else runs. */
    public void setCapacity(int capacity) {
        checkArgument(capacity > 0, "capacity %s is below 1", capacity);
        mCapacity = capacity;
    }

    /** Handles the end of a running item; {@link ItemReports} creates the report. */
    public void itemEnded(ItemReport report, long nowNanos, Effects out) {
        if (mHeld.remove(report.lease())) {
            mOutbox.add(report);
        }
        runDueWork(nowNanos, out);
    }

    /**
     * Sends the partial output of running items to the control host, so that later runs can resume
     * after it.
     */
    public void progress(List<ItemProgress> items, Effects out) {
        out.send(mControl.current(), new JobMessage.Progress(mGroup, mIncarnation, items));
    }

    /**
     * Stops pulling and gives back the items that are not running. Running items are finished and
     * reported.
     */
    public void stop(long nowNanos, Effects out) {
        mIsStopping = true;
        giveBackWaiting();
        runDueWork(nowNanos, out);
    }

    /** Returns whether no item is held and all reports are acknowledged. */
    public boolean isDrained() {
        return mHeld.isEmpty() && mOutbox.isEmpty();
    }

    /** Handles a message from a control host for this group. */
    public void handle(HostId from, JobMessage message, long nowNanos, Effects out) {
        if (message instanceof JobMessage.Redirect redirect) {
            redirected(from, redirect, nowNanos);
        } else if (message instanceof JobMessage.Lot lot) {
            confirmLeader(from);
            acceptLot(lot, nowNanos);
        } else if (message instanceof JobMessage.Renewed renewed) {
            confirmLeader(from);
            renewed(renewed, nowNanos, out);
        } else if (message instanceof JobMessage.Started started) {
            confirmLeader(from);
            started(started);
        } else if (message instanceof JobMessage.Reported reported) {
            confirmLeader(from);
            mOutbox.acknowledge(reported);
        } else if (message instanceof JobMessage.Revoke revoke) {
            revoke.leases().forEach(ref -> handleLostLease(ref, nowNanos, out));
        }
        runDueWork(nowNanos, out);
    }

    private void confirmLeader(HostId from) {
        if (mControl.isCurrent(from)) {
            mControl.resetBackoff();
        }
    }

    private void redirected(HostId from, JobMessage.Redirect redirect, long nowNanos) {
        if (mControl.isCurrent(from) && !mControl.isPausing(nowNanos)) {
            mControl.redirect(redirect.leader(), nowNanos);
            resetPendingRequests(nowNanos);
        }
    }

    /**
     * Discards the state of requests in flight, so that all are sent again, the renewal first, when
     * the next control host is tried.
     */
    private void resetPendingRequests(long nowNanos) {
        mNextRenewalNanos = nowNanos;
        mIsPullPending = false;
        mIsRenewalPending = false;
        mOutbox.resendAll();
        mHeld.resetStarts();
    }

    /**
     * Accepts the lot that answers the current pull, and gives back the items of any other lot.
     *
     * <p>Fencing numbers only increase, so items with a lower one belong to an earlier lot that was
     * duplicated or delayed. They must not be given back, as they may have run.
     */
    private void acceptLot(JobMessage.Lot lot, long nowNanos) {
        List<LeasedItem> newItems =
                lot.items().stream().filter(i -> i.lease().fence() > mHighestFence).toList();
        newItems.forEach(item -> mHighestFence = Math.max(mHighestFence, item.lease().fence()));
        if (lot.sequence() != mPullSequence || !mIsPullPending) {
            newItems.forEach(item -> mOutbox.add(ItemReport.givenBack(item.lease())));
            return;
        }
        mIsPullPending = false;
        mLeaseNanos = lot.leaseMillis() * MILLI_NANOS;
        mNextRenewalNanos =
                Math.min(mNextRenewalNanos, nowNanos + mLeaseNanos / RENEWALS_PER_LEASE);
        for (LeasedItem item : newItems) {
            mHeld.add(HeldItem.of(item, nowNanos + mLeaseNanos));
        }
    }

    private void renewed(JobMessage.Renewed renewed, long nowNanos, Effects out) {
        if (renewed.sequence() != mRenewSequence || !mIsRenewalPending) {
            return;
        }
        mIsRenewalPending = false;
        long expiry = mRenewalSentNanos + renewed.leaseMillis() * MILLI_NANOS;
        mHeld.extend(expiry);
        renewed.lost().forEach(ref -> handleLostLease(ref, nowNanos, out));
    }

    private void started(JobMessage.Started started) {
        started.granted().stream()
                .flatMap(ref -> mHeld.find(ref).stream())
                .filter(held -> held.step() == HeldItem.Step.STARTING)
                .forEach(held -> held.setStep(HeldItem.Step.CLEARED));
        started.refused().stream()
                .flatMap(ref -> mHeld.find(ref).stream())
                .filter(held -> !held.isRunning())
                .forEach(this::discard);
    }

    /**
     * Discards an item whose lease is lost. A running item that may not be repeated continues, so
     * that its end is reported.
     */
    private void handleLostLease(LeaseRef ref, long nowNanos, Effects out) {
        HeldItem held = mHeld.find(ref).orElse(null);
        if (held == null) {
            return;
        } else if (!held.isRunning()) {
            discard(held);
        } else if (held.item().repeatable()) {
            mHeld.remove(ref);
            mRunner.stop(ref, nowNanos, out);
        }
    }

    /**
     * Discards an item that has not run.
     *
     * <p>An item that may not be repeated is given back. Otherwise a durable start that was
     * recorded without this agent's knowledge would leave it in doubt.
     */
    private void discard(HeldItem held) {
        mHeld.remove(held.item().lease());
        if (!held.item().repeatable()) {
            mOutbox.add(ItemReport.givenBack(held.item().lease()));
        }
    }

    /** Runs the work that is due. */
    public void tick(long nowNanos, Effects out) {
        runDueWork(nowNanos, out);
    }

    private void runDueWork(long nowNanos, Effects out) {
        dropExpired(nowNanos);
        if (mSlots == 0 && nowNanos - mNoSlotsSinceNanos >= NO_SLOTS_TIMEOUT_NANOS) {
            giveBackWaiting();
        }
        run(nowNanos, out);
        checkTimeouts(nowNanos);
        if (!mControl.isPausing(nowNanos)) {
            mControl.endPause();
            renew(nowNanos, out);
            start(nowNanos, out);
            pull(nowNanos, out);
            mOutbox.send(mControl.current(), nowNanos, out);
        }
    }

    private void dropExpired(long nowNanos) {
        mHeld.inStep(HeldItem.Step.QUEUED)
                .filter(held -> nowNanos - held.expiryNanos() >= 0)
                .toList()
                .forEach(this::discard);
    }

    private void giveBackWaiting() {
        for (HeldItem held : mHeld.waiting()) {
            mHeld.remove(held.item().lease());
            mOutbox.add(ItemReport.givenBack(held.item().lease()));
        }
    }

    private void run(long nowNanos, Effects out) {
        while (mSlots > 0) {
            HeldItem next = mHeld.nextToRun().orElse(null);
            if (next == null) {
                return;
            }
            mSlots--;
            next.setStep(HeldItem.Step.RUNNING);
            mRunner.run(next.item(), nowNanos, out);
        }
    }

    /** Requests durable starts for as many items as there are idle slots. */
    private void start(long nowNanos, Effects out) {
        long inFlight = mHeld.inStep(HeldItem.Step.STARTING).count();
        List<HeldItem> next = mHeld.nextToStart(mSlots - inFlight);
        if (next.isEmpty()) {
            return;
        }
        next.forEach(held -> held.setStep(HeldItem.Step.STARTING));
        mStartSentNanos = nowNanos;
        List<LeaseRef> refs = next.stream().map(held -> held.item().lease()).toList();
        out.send(mControl.current(), new JobMessage.Start(mGroup, mIncarnation, refs));
    }

    private void pull(long nowNanos, Effects out) {
        int waiting = mHeld.waiting().size();
        boolean isWanted =
                mSlots > waiting && !mIsStopping && mOutbox.bytes() < MAX_UNREPORTED_BYTES;
        boolean mayKeepPulling =
                mSlots > 0 || nowNanos - mNoSlotsSinceNanos < NO_SLOTS_TIMEOUT_NANOS;
        if (isWanted && !mIsPullPending) {
            sendPull(mSlots - waiting, nowNanos, out);
            mIsPullPending = true;
        } else if (mIsPullPending && (mIsStopping || !mayKeepPulling)) {
            sendPull(0, nowNanos, out);
            mIsPullPending = false;
        }
    }

    private void sendPull(int slots, long nowNanos, Effects out) {
        if (!hasPendingWork()) {
            mNextRenewalNanos = nowNanos + mLeaseNanos / RENEWALS_PER_LEASE;
        }
        mPullSlots = slots;
        mPullSequence = ++mSequence;
        sendCurrentPull(out);
    }

    private void sendCurrentPull(Effects out) {
        out.send(
                mControl.current(),
                new JobMessage.Pull(
                        mGroup, mIncarnation, mService, mPullSequence, mPullSlots, mCapacity));
    }

    private boolean hasPendingWork() {
        return mIsPullPending || !mHeld.isEmpty() || !mOutbox.isEmpty();
    }

    private void renew(long nowNanos, Effects out) {
        if (!hasPendingWork() || mIsRenewalPending || nowNanos - mNextRenewalNanos < 0) {
            return;
        }
        mRenewSequence = ++mSequence;
        mIsRenewalPending = true;
        mRenewalSentNanos = nowNanos;
        mNextRenewalNanos = nowNanos + mLeaseNanos / RENEWALS_PER_LEASE;
        List<LeaseRef> refs = Stream.concat(mHeld.leases(), mOutbox.leases()).toList();
        out.send(
                mControl.current(),
                new JobMessage.Renew(mGroup, mIncarnation, mRenewSequence, refs));
        if (mIsPullPending) {
            sendCurrentPull(out);
        }
    }

    private void checkTimeouts(long nowNanos) {
        boolean isRenewalTimedOut =
                mIsRenewalPending && nowNanos - mRenewalSentNanos >= ANSWER_TIMEOUT_NANOS;
        boolean isStartTimedOut =
                mHeld.isStarting() && nowNanos - mStartSentNanos >= ANSWER_TIMEOUT_NANOS;
        if (isRenewalTimedOut) {
            mControl.next(nowNanos);
            resetPendingRequests(nowNanos);
        } else if (isStartTimedOut) {
            mHeld.resetStarts();
        }
    }

    /** Returns the time at which {@link #tick} is due next, or {@link Node#NEVER}. */
    public long nextTickNanos() {
        if (!hasPendingWork()) {
            return Node.NEVER;
        }
        boolean hasToGiveBack = mSlots == 0 && (mIsPullPending || !mHeld.waiting().isEmpty());
        long giveBackNanos =
                hasToGiveBack ? mNoSlotsSinceNanos + NO_SLOTS_TIMEOUT_NANOS : Node.NEVER;
        return Math.min(
                giveBackNanos, mControl.isPausing() ? mControl.pauseEndNanos() : nextSendNanos());
    }

    private long nextSendNanos() {
        boolean isStarting = mHeld.isStarting();
        long renewal =
                mIsRenewalPending ? mRenewalSentNanos + ANSWER_TIMEOUT_NANOS : mNextRenewalNanos;
        long start = isStarting ? mStartSentNanos + ANSWER_TIMEOUT_NANOS : Node.NEVER;
        return Math.min(Math.min(renewal, start), mOutbox.nextSendNanos());
    }
}
