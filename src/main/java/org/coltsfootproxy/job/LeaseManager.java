package org.coltsfootproxy.job;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.message.ItemState;
import org.coltsfootproxy.message.JobMessage;
import org.coltsfootproxy.message.LeaseRef;
import org.coltsfootproxy.message.LeasedItem;

/**
 * Grants, renews and ends leases.
 *
 * <p>Leases are kept in the leader's memory only. The ledger holds what must survive a change of
 * leader: the durable starts of items that may not be repeated, and all verdicts.
 */
final class LeaseManager {
    private static final long MAX_LOT_BYTES = 768 << 10;
    private static final long SESSION_TIMEOUT_NANOS = 60_000_000_000L;
    private static final long STORAGE_FULL_PAUSE_NANOS = 5_000_000_000L;

    private final int mGroup;
    private final LeaderState mState;
    private final CommandLog mLog;
    private final StepContext mStep;
    private final LotPolicy mLotPolicy;
    private long mGrantsPausedUntilNanos;

    LeaseManager(int group, LeaderState state, CommandLog log) {
        mGroup = group;
        mState = state;
        mLog = log;
        mStep = state.step();
        mLotPolicy = new LotPolicy(state.settings());
    }

    void open() {
        mGrantsPausedUntilNanos = mStep.nowNanos();
    }

    /** Pauses grants for a few seconds, because storage is full and results can't be stored. */
    void pauseGrants() {
        mGrantsPausedUntilNanos = mStep.nowNanos() + STORAGE_FULL_PAUSE_NANOS;
    }

    void pull(AgentSession session, JobMessage.Pull pull) {
        session.setPull(pull);
        serve(session);
    }

    /** Grants lots to agents whose pull waits for a service that has new work. */
    void serveWaiting() {
        for (var service : mState.takeServicesWithWork()) {
            mState.leaseTable()
                    .sessions()
                    .filter(s -> s.pull() != null && s.pull().service().covers(service))
                    .toList()
                    .forEach(this::serve);
        }
    }

    private void serve(AgentSession session) {
        JobMessage.Pull pull = session.pull();
        if (pull == null || pull.slots() <= 0 || mStep.nowNanos() - mGrantsPausedUntilNanos < 0) {
            return;
        }
        List<LeasedItem> lot = new ArrayList<>();
        long leaseNanos = fillLot(session, pull, lot);
        if (!lot.isEmpty()) {
            session.clearPull();
            long leaseMillis = leaseNanos / EpochClock.NANOS_PER_MILLI;
            mStep.send(
                    session.agent(), new JobMessage.Lot(mGroup, pull.sequence(), leaseMillis, lot));
        }
    }

    private long fillLot(AgentSession session, JobMessage.Pull pull, List<LeasedItem> lot) {
        int slots = Math.max(1, mState.slots(pull.service()));
        long leaseNanos = Long.MAX_VALUE;
        long bytes = 0;
        int size = 1;
        while (lot.size() < size && bytes < MAX_LOT_BYTES) {
            Optional<JobScheduler.Choice> choice =
                    mState.scheduler()
                            .choose(
                                    pull.service(),
                                    slots,
                                    mStep.epochMillis(),
                                    this::canStoreResults);
            if (choice.isEmpty()) {
                break;
            }
            double runSeconds = mState.runTimes().seconds(choice.get().queue().job());
            size = Math.max(size, mLotPolicy.items(pull.slots(), runSeconds));
            List<LeasedItem> taken =
                    leaseItems(choice.get(), session, size - lot.size(), MAX_LOT_BYTES - bytes);
            if (!taken.isEmpty()) {
                leaseNanos = Math.min(leaseNanos, mLotPolicy.leaseNanos(runSeconds));
            }
            bytes += taken.stream().mapToLong(item -> item.body().length).sum();
            lot.addAll(taken);
        }
        return leaseNanos;
    }

    /** Leases items of a single job, as they tend to share a prompt prefix. */
    private List<LeasedItem> leaseItems(
            JobScheduler.Choice choice, AgentSession session, int items, long bytes) {
        LedgerJob job = choice.queue().job();
        long leaseNanos = mLotPolicy.leaseNanos(mState.runTimes().seconds(job));
        List<LeasedItem> taken = new ArrayList<>();
        long takenBytes = 0;
        int item = nextUnleased(choice.queue());
        while (item >= 0) {
            LeasedItem leased = lease(session, job, item, leaseNanos);
            taken.add(leased);
            takenBytes += leased.body().length + leased.partialOutput().bytes().length;
            boolean isMore = taken.size() < items && takenBytes < bytes;
            item = isMore ? nextUnleased(choice.queue()) : -1;
        }
        mState.scheduler().charge(choice, taken.size());
        return taken;
    }

    /** Returns whether further results of an organisation can be stored within the limits. */
    private boolean canStoreResults(OrganisationId organisation) {
        return mState.ledger().hasRoomForResults(organisation, mState.settings().limits());
    }

    private int nextUnleased(JobQueue queue) {
        int item = queue.take(mStep.epochMillis());
        while (item >= 0 && mState.leaseTable().isLeased(queue.job().number(), item)) {
            item = queue.take(mStep.epochMillis());
        }
        return item;
    }

    private LeasedItem lease(AgentSession session, LedgerJob job, int item, long leaseNanos) {
        LeaseRef ref = new LeaseRef(job.number(), item, mState.nextFence());
        long expiry = mStep.nowNanos() + leaseNanos;
        mState.leaseTable().add(session, ItemLease.of(ref, session.agent(), expiry));
        return new LeasedItem(
                ref,
                job.organisation().value(),
                mState.service(job),
                job.spec().repeatable(),
                job.spec().method(),
                job.spec().path(),
                job.spec().timeoutMillis(),
                job.spec().deadlineEpochMillis() - mStep.epochMillis(),
                job.items().partialOutput(item),
                ItemPayload.content(job.items().payload(item)),
                job.spec().allowedRegions());
    }

    void renew(AgentSession session, JobMessage.Renew renew) {
        long leaseNanos = mState.settings().maxLease().toNanos();
        List<LeaseRef> lost =
                renew.leases().stream().filter(ref -> !renewOrTakeOver(session, ref)).toList();
        mStep.send(
                session.agent(),
                new JobMessage.Renewed(
                        mGroup, renew.sequence(), leaseNanos / EpochClock.NANOS_PER_MILLI, lost));
    }

    /**
     * Renews a lease that the agent holds, or takes over one of an earlier term; returns whether it
     * did.
     */
    boolean renewOrTakeOver(AgentSession session, LeaseRef ref) {
        long expiry = mStep.nowNanos() + mState.settings().maxLease().toNanos();
        Optional<ItemLease> held = mState.leaseTable().held(session.agent(), ref);
        held.ifPresent(lease -> lease.extend(expiry));
        return held.isPresent() || takeOver(session, ref, expiry);
    }

    /**
     * Takes over a lease of an earlier term during the grace period, unless its item has been
     * leased again or has changed since.
     */
    private boolean takeOver(AgentSession session, LeaseRef ref, long expiry) {
        boolean isOpen =
                mState.isGracePeriod()
                        && mState.isOfEarlierTerm(ref.fence())
                        && !mState.leaseTable().isLeased(ref.job(), ref.item())
                        && mState.ledger().job(ref.job()).filter(j -> isOpen(j, ref)).isPresent();
        if (isOpen) {
            mState.leaseTable().add(session, ItemLease.of(ref, session.agent(), expiry));
        }
        return isOpen;
    }

    private static boolean isOpen(LedgerJob job, LeaseRef ref) {
        if (ref.item() < 0 || ref.item() >= job.items().size()) {
            return false;
        }
        ItemState state = job.items().state(ref.item());
        boolean hasNotFailed = !job.items().hasFailedUnder(ref.item(), ref.fence());
        return (state == ItemState.WAITING && hasNotFailed)
                || (state == ItemState.STARTED
                        && job.items().run(ref.item()).fence() == ref.fence());
    }

    /** Ends leases whose agents are lost. Their started items are then in doubt. */
    void releaseOrphans(List<ItemLease> leases) {
        List<LeaseRef> refs = leases.stream().filter(l -> !l.isBusy()).map(ItemLease::ref).toList();
        List<LeaseRef> started = refs.stream().filter(this::isStarted).toList();
        mState.release(refs);
        recordLoss(started);
    }

    private boolean isStarted(LeaseRef ref) {
        return mState.ledger().itemState(ref).filter(ItemState.STARTED::equals).isPresent();
    }

    private void recordLoss(List<LeaseRef> refs) {
        if (refs.isEmpty()) {
            return;
        }
        mStep.log(
                EventCode.ITEMS_IN_DOUBT,
                refs.size() + " started items are in doubt: their agents were lost");
        mLog.propose(
                new JobCommand.Lose(mStep.epochMillis(), refs),
                outcome -> refs.forEach(this::jobChanged),
                kind -> mState.addUnrecordedLosses(refs));
    }

    private void jobChanged(LeaseRef ref) {
        mState.ledger().job(ref.job()).ifPresent(mState::jobChanged);
    }

    /** Ends expired leases, and the grace period of a new term when it is over. */
    void tick() {
        releaseOrphans(mState.leaseTable().expired(mStep.nowNanos()));
        if (mState.isGraceOver()) {
            mState.endGrace();
            mState.ledger()
                    .jobs()
                    .filter(j -> j.items().openCount() > 0)
                    .forEach(this::recoverUnclaimed);
        }
        recordLoss(mState.takeUnrecordedLosses());
        markReadyServices();
        mState.leaseTable().removeSilent(mStep.nowNanos() - SESSION_TIMEOUT_NANOS);
    }

    /** Marks services that have work whose backoff is over, or that could not be granted before. */
    private void markReadyServices() {
        mState.scheduler()
                .queues()
                .filter(queue -> queue.hasReady(mStep.epochMillis()))
                .forEach(queue -> mState.addServiceWithWork(queue.job()));
    }

    /**
     * Queues waiting items of earlier terms that no agent has claimed, and marks started ones as in
     * doubt.
     */
    private void recoverUnclaimed(LedgerJob job) {
        List<LeaseRef> started = new ArrayList<>();
        IntStream.range(0, job.items().size())
                .filter(item -> !mState.leaseTable().isLeased(job.number(), item))
                .forEach(
                        item -> {
                            ItemState state = job.items().state(item);
                            if (state == ItemState.WAITING) {
                                mState.requeue(new LeaseRef(job.number(), item, 0));
                            } else if (state == ItemState.STARTED) {
                                long fence = job.items().run(item).fence();
                                started.add(new LeaseRef(job.number(), item, fence));
                            }
                        });
        recordLoss(started);
    }

    /** Revokes the lease on an item if the item has ended. */
    void revokeEnded(LeaseRef ref) {
        mState.leaseTable()
                .current(ref)
                .filter(lease -> mState.ledger().itemState(ref).get().isEnded())
                .ifPresent(
                        lease -> {
                            mState.leaseTable().remove(lease.ref());
                            mStep.send(
                                    lease.agent(),
                                    new JobMessage.Revoke(mGroup, List.of(lease.ref())));
                        });
    }

    /** Revokes the leases on items of a cancelled job that have not started. */
    void revoke(LedgerJob job) {
        List<ItemLease> leases =
                mState.leaseTable().ofJob(job.number()).stream()
                        .filter(lease -> !isStarted(lease.ref()))
                        .toList();
        leases.forEach(lease -> mState.leaseTable().remove(lease.ref()));
        leases.stream()
                .map(ItemLease::agent)
                .distinct()
                .forEach(agent -> mStep.send(agent, revoke(agent, leases)));
    }

    private JobMessage.Revoke revoke(org.coltsfootproxy.base.HostId agent, List<ItemLease> leases) {
        return new JobMessage.Revoke(
                mGroup,
                leases.stream().filter(l -> l.agent().equals(agent)).map(ItemLease::ref).toList());
    }
}
