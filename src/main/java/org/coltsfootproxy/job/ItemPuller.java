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
 * The agent's side of batch jobs for one group: it pulls items while slots are idle, renews their
 * leases and reports their ends until they are acknowledged.
 *
 * <p>Single-threaded and deterministic like a {@link Node}. It holds at most one lot of items that
 * wait and pulls no more while reports pile up, so its memory is bounded.
 */
public final class ItemPuller {
    private static final long MILLI = EpochClock.NANOS_PER_MILLI;
    private static final long ANSWER_NANOS = 3_000 * MILLI;
    private static final long FIRST_LEASE_NANOS = 6_000 * MILLI;
    private static final long IDLE_NANOS = 1_000 * MILLI;
    private static final int RENEWALS_A_LEASE = 3;
    private static final long MAX_UNREPORTED_BYTES = 8L << 20;

    private final int mGroup;
    private final Incarnation mIncarnation;
    private final ServiceId mService;
    private final ItemRunner mRunner;
    private final ControlLink mLink;
    private final ReportOutbox mOutbox;
    private final HeldItems mHeld = new HeldItems();
    private int mCapacity;
    private int mSlots;
    private long mSlotsGoneNanos;
    private long mSequence;
    private long mPullSequence;
    private long mRenewSequence;
    private long mLastFence;
    private boolean mIsPulling;
    private boolean mIsAwaiting;
    private int mPullSlots;
    private long mSentNanos;
    private long mStartNanos;
    private long mRenewNanos;
    private long mLeaseNanos = FIRST_LEASE_NANOS;
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
        mLink = ControlLink.of(controls, incarnation.value());
        mOutbox = new ReportOutbox(group, incarnation);
    }

    /**
     * Returns a puller that holds no items.
     *
     * @param group group of the replicated log, from 1
     * @param incarnation this life of the agent
     * @param capacity items that could run at once if nothing else ran
     * @param controls control hosts of the group
     */
    public static ItemPuller create(
            int group,
            Incarnation incarnation,
            ServiceId service,
            int capacity,
            List<HostId> controls,
            ItemRunner runner) {
        checkArgument(group > 0, "group %s is not one of jobs", group);
        checkArgument(capacity > 0, "capacity %s is below 1", capacity);
        checkNotNull(incarnation, "incarnation is missing");
        checkNotNull(service, "service is missing");
        checkNotNull(runner, "runner is missing");
        return new ItemPuller(group, incarnation, service, capacity, controls, runner);
    }

    /**
     * Tells how many further batch items could run at the target now.
     *
     * <p>To be called on each change. Items are run at once while slots are idle.
     */
    public void slotsFree(int slots, long nowNanos, Effects out) {
        checkArgument(slots >= 0, "slots %s are below 0", slots);
        if (slots == 0 && mSlots > 0) {
            mSlotsGoneNanos = nowNanos;
        }
        mSlots = slots;
        proceed(nowNanos, out);
    }

    /** Replaces the control hosts, at least one. */
    public void controls(List<HostId> controls) {
        mLink.controls(controls);
    }

    /**
     * Speaks to this control host from now on, as it is known to lead. Leases of an earlier leader
     * are renewed there at once: it waits for them only for a short time.
     */
    public void leader(HostId leader, long nowNanos) {
        if (mLink.knows(leader) && !mLink.isHost(leader)) {
            mLink.redirect(leader, nowNanos);
            forgetAnswers(nowNanos);
        }
    }

    /** A connection was lost: if it was to the present control host, tries the next. */
    public void peerLost(HostId host, long nowNanos) {
        if (mLink.isHost(host) && !mLink.isPausing(nowNanos)) {
            mLink.next(nowNanos);
            forgetAnswers(nowNanos);
        }
    }

    /** Changes the number of items that could run at once if nothing else ran. */
    public void setCapacity(int capacity) {
        checkArgument(capacity > 0, "capacity %s is below 1", capacity);
        mCapacity = capacity;
    }

    /** Tells how a running item ended; {@link ItemReports} makes the report. */
    public void ended(ItemReport report, long nowNanos, Effects out) {
        if (mHeld.remove(report.lease())) {
            mOutbox.add(report);
        }
        proceed(nowNanos, out);
    }

    /** Tells the control host what running items have made, so that others can go on after it. */
    public void progress(List<ItemProgress> items, Effects out) {
        out.send(mLink.host(), new JobMessage.Progress(mGroup, mIncarnation, items));
    }

    /** Gives back what does not run and pulls no more; what runs is finished and reported. */
    public void stop(long nowNanos, Effects out) {
        mIsStopping = true;
        giveBackWaiting();
        proceed(nowNanos, out);
    }

    /** Tells whether no item is held and every report is acknowledged. */
    public boolean isDrained() {
        return mHeld.isEmpty() && mOutbox.isEmpty();
    }

    /** Handles a message of a control host for this group. */
    public void handle(HostId from, JobMessage message, long nowNanos, Effects out) {
        if (message instanceof JobMessage.Redirect redirect) {
            redirected(from, redirect, nowNanos);
        } else if (message instanceof JobMessage.Lot lot) {
            confirm(from);
            take(lot, nowNanos);
        } else if (message instanceof JobMessage.Renewed renewed) {
            confirm(from);
            renewed(renewed, nowNanos, out);
        } else if (message instanceof JobMessage.Started started) {
            confirm(from);
            started(started);
        } else if (message instanceof JobMessage.Reported reported) {
            confirm(from);
            mOutbox.acknowledge(reported);
        } else if (message instanceof JobMessage.Revoke revoke) {
            revoke.leases().forEach(ref -> drop(ref, nowNanos, out));
        }
        proceed(nowNanos, out);
    }

    private void confirm(HostId from) {
        if (mLink.isHost(from)) {
            mLink.confirm();
        }
    }

    private void redirected(HostId from, JobMessage.Redirect redirect, long nowNanos) {
        if (mLink.isHost(from) && !mLink.isPausing(nowNanos)) {
            mLink.redirect(redirect.leader(), nowNanos);
            forgetAnswers(nowNanos);
        }
    }

    /** Sends everything again, the renewal first, once the next control host is tried. */
    private void forgetAnswers(long nowNanos) {
        mRenewNanos = nowNanos;
        mIsPulling = false;
        mIsAwaiting = false;
        mOutbox.sendAgain();
        mHeld.forgetStarts();
    }

    /**
     * Takes a lot that was asked for and gives back any other.
     *
     * <p>Fencing numbers only grow, so a lower one is of a lot that came before, doubled or late;
     * its items must not be given back, for they may have run.
     */
    private void take(JobMessage.Lot lot, long nowNanos) {
        List<LeasedItem> unseen =
                lot.items().stream().filter(i -> i.lease().fence() > mLastFence).toList();
        unseen.forEach(item -> mLastFence = Math.max(mLastFence, item.lease().fence()));
        if (lot.sequence() != mPullSequence || !mIsPulling) {
            unseen.forEach(item -> mOutbox.add(ItemReport.givenBack(item.lease())));
            return;
        }
        mIsPulling = false;
        mLeaseNanos = lot.leaseMillis() * MILLI;
        mRenewNanos = Math.min(mRenewNanos, nowNanos + mLeaseNanos / RENEWALS_A_LEASE);
        for (LeasedItem item : unseen) {
            mHeld.add(HeldItem.of(item, nowNanos + mLeaseNanos));
        }
    }

    private void renewed(JobMessage.Renewed renewed, long nowNanos, Effects out) {
        if (renewed.sequence() != mRenewSequence || !mIsAwaiting) {
            return;
        }
        mIsAwaiting = false;
        long expiry = mSentNanos + renewed.leaseMillis() * MILLI;
        mHeld.extend(expiry);
        renewed.lost().forEach(ref -> drop(ref, nowNanos, out));
    }

    private void started(JobMessage.Started started) {
        started.granted().stream()
                .flatMap(ref -> mHeld.find(ref).stream())
                .filter(held -> held.step() == HeldItem.Step.STARTING)
                .forEach(held -> held.setStep(HeldItem.Step.CLEARED));
        started.refused().stream()
                .flatMap(ref -> mHeld.find(ref).stream())
                .filter(held -> !held.isRunning())
                .forEach(this::letGo);
    }

    /** Lets go of a lost item; one that may not be repeated and runs goes on, to be reported. */
    private void drop(LeaseRef ref, long nowNanos, Effects out) {
        HeldItem held = mHeld.find(ref).orElse(null);
        if (held == null) {
            return;
        } else if (!held.isRunning()) {
            letGo(held);
        } else if (held.item().repeatable()) {
            mHeld.remove(ref);
            mRunner.stop(ref, nowNanos, out);
        }
    }

    /**
     * Forgets an item that has not run.
     *
     * <p>One that may not be repeated is given back, lest a start that was recorded without this
     * agent's knowledge leaves it in doubt.
     */
    private void letGo(HeldItem held) {
        mHeld.remove(held.item().lease());
        if (!held.item().repeatable()) {
            mOutbox.add(ItemReport.givenBack(held.item().lease()));
        }
    }

    /** Does whatever is due. */
    public void tick(long nowNanos, Effects out) {
        proceed(nowNanos, out);
    }

    private void proceed(long nowNanos, Effects out) {
        dropExpired(nowNanos);
        if (mSlots == 0 && nowNanos - mSlotsGoneNanos >= IDLE_NANOS) {
            giveBackWaiting();
        }
        run(nowNanos, out);
        checkSilence(nowNanos);
        if (!mLink.isPausing(nowNanos)) {
            mLink.endPause();
            renew(nowNanos, out);
            start(nowNanos, out);
            pull(nowNanos, out);
            mOutbox.send(mLink.host(), nowNanos, out);
        }
    }

    private void dropExpired(long nowNanos) {
        mHeld.inStep(HeldItem.Step.QUEUED)
                .filter(held -> nowNanos - held.expiryNanos() >= 0)
                .toList()
                .forEach(this::letGo);
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

    /** Asks for durable starts of as many items as slots are idle. */
    private void start(long nowNanos, Effects out) {
        long underWay = mHeld.inStep(HeldItem.Step.STARTING).count();
        List<HeldItem> next = mHeld.nextToStart(mSlots - underWay);
        if (next.isEmpty()) {
            return;
        }
        next.forEach(held -> held.setStep(HeldItem.Step.STARTING));
        mStartNanos = nowNanos;
        List<LeaseRef> refs = next.stream().map(held -> held.item().lease()).toList();
        out.send(mLink.host(), new JobMessage.Start(mGroup, mIncarnation, refs));
    }

    private void pull(long nowNanos, Effects out) {
        int waiting = mHeld.waiting().size();
        boolean isWanted =
                mSlots > waiting && !mIsStopping && mOutbox.bytes() < MAX_UNREPORTED_BYTES;
        boolean isIdleEnough = mSlots > 0 || nowNanos - mSlotsGoneNanos < IDLE_NANOS;
        if (isWanted && !mIsPulling) {
            sendPull(mSlots - waiting, nowNanos, out);
            mIsPulling = true;
        } else if (mIsPulling && (mIsStopping || !isIdleEnough)) {
            sendPull(0, nowNanos, out);
            mIsPulling = false;
        }
    }

    private void sendPull(int slots, long nowNanos, Effects out) {
        if (!needsLink()) {
            mRenewNanos = nowNanos + mLeaseNanos / RENEWALS_A_LEASE;
        }
        mPullSlots = slots;
        mPullSequence = ++mSequence;
        askForLot(out);
    }

    private void askForLot(Effects out) {
        out.send(
                mLink.host(),
                new JobMessage.Pull(
                        mGroup, mIncarnation, mService, mPullSequence, mPullSlots, mCapacity));
    }

    private boolean needsLink() {
        return mIsPulling || !mHeld.isEmpty() || !mOutbox.isEmpty();
    }

    private void renew(long nowNanos, Effects out) {
        if (!needsLink() || mIsAwaiting || nowNanos - mRenewNanos < 0) {
            return;
        }
        mRenewSequence = ++mSequence;
        mIsAwaiting = true;
        mSentNanos = nowNanos;
        mRenewNanos = nowNanos + mLeaseNanos / RENEWALS_A_LEASE;
        List<LeaseRef> refs = Stream.concat(mHeld.leases(), mOutbox.leases()).toList();
        out.send(mLink.host(), new JobMessage.Renew(mGroup, mIncarnation, mRenewSequence, refs));
        if (mIsPulling) {
            askForLot(out);
        }
    }

    private void checkSilence(long nowNanos) {
        boolean isSilent = mIsAwaiting && nowNanos - mSentNanos >= ANSWER_NANOS;
        boolean isStartSilent = mHeld.isStarting() && nowNanos - mStartNanos >= ANSWER_NANOS;
        if (isSilent) {
            mLink.next(nowNanos);
            forgetAnswers(nowNanos);
        } else if (isStartSilent) {
            mHeld.forgetStarts();
        }
    }

    /** Returns the time of the next due {@link #tick}, or {@link Node#NEVER}. */
    public long nextTickNanos() {
        if (!needsLink()) {
            return Node.NEVER;
        }
        boolean givesBack = mSlots == 0 && (mIsPulling || !mHeld.waiting().isEmpty());
        long idleEnd = givesBack ? mSlotsGoneNanos + IDLE_NANOS : Node.NEVER;
        return Math.min(idleEnd, mLink.isPausing() ? mLink.pauseEndNanos() : nextSendNanos());
    }

    private long nextSendNanos() {
        boolean isStarting = mHeld.isStarting();
        long renewal = mIsAwaiting ? mSentNanos + ANSWER_NANOS : mRenewNanos;
        long start = isStarting ? mStartNanos + ANSWER_NANOS : Node.NEVER;
        return Math.min(Math.min(renewal, start), mOutbox.nextSendNanos());
    }
}
