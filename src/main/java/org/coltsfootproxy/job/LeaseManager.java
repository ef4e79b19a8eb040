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
 * <p>Leases are in the leader's memory only. What must outlast it is in the ledger: the durable
 * start of an item that may not be repeated, and every verdict.
 */
final class LeaseManager {
    private static final long MAX_LOT_BYTES = 768 << 10;
    private static final long SILENT_NANOS = 60_000_000_000L;
    private static final long FULL_PAUSE_NANOS = 5_000_000_000L;

    private final int mGroup;
    private final LeaderState mState;
    private final CommandLog mLog;
    private final StepClock mStep;
    private final LotPolicy mLots;
    private long mFullUntilNanos;

    LeaseManager(int group, LeaderState state, CommandLog log) {
        mGroup = group;
        mState = state;
        mLog = log;
        mStep = state.step();
        mLots = new LotPolicy(state.settings());
    }

    void open() {
        mFullUntilNanos = mStep.nowNanos();
    }

    /** Grants nothing for a while, because results could not be stored. */
    void pauseGrants() {
        mFullUntilNanos = mStep.nowNanos() + FULL_PAUSE_NANOS;
    }

    void pull(AgentSession session, JobMessage.Pull pull) {
        session.setPull(pull);
        serve(session);
    }

    /** Grants lots to the agents that wait for work that has come up. */
    void serveWaiting() {
        for (var service : mState.takeFreshWork()) {
            mState.table()
                    .sessions()
                    .filter(s -> s.pull() != null && s.pull().service().covers(service))
                    .toList()
                    .forEach(this::serve);
        }
    }

    private void serve(AgentSession session) {
        JobMessage.Pull pull = session.pull();
        if (pull == null || pull.slots() <= 0 || mStep.nowNanos() - mFullUntilNanos < 0) {
            return;
        }
        List<LeasedItem> lot = new ArrayList<>();
        long leaseNanos = fill(session, pull, lot);
        if (!lot.isEmpty()) {
            session.clearPull();
            long leaseMillis = leaseNanos / EpochClock.NANOS_PER_MILLI;
            mStep.send(
                    session.agent(), new JobMessage.Lot(mGroup, pull.sequence(), leaseMillis, lot));
        }
    }

    private long fill(AgentSession session, JobMessage.Pull pull, List<LeasedItem> lot) {
        int slots = Math.max(1, mState.slots(pull.service()));
        long leaseNanos = Long.MAX_VALUE;
        long bytes = 0;
        int size = 1;
        while (lot.size() < size && bytes < MAX_LOT_BYTES) {
            Optional<JobScheduler.Choice> choice =
                    mState.scheduler()
                            .choose(pull.service(), slots, mStep.epochMillis(), this::hasRoom);
            if (choice.isEmpty()) {
                break;
            }
            double run = mState.runTimes().seconds(choice.get().queue().job());
            size = Math.max(size, mLots.items(pull.slots(), run));
            List<LeasedItem> taken =
                    take(choice.get(), session, size - lot.size(), MAX_LOT_BYTES - bytes);
            if (!taken.isEmpty()) {
                leaseNanos = Math.min(leaseNanos, mLots.leaseNanos(run));
            }
            bytes += taken.stream().mapToLong(item -> item.body().length).sum();
            lot.addAll(taken);
        }
        return leaseNanos;
    }

    /** Leases items of one job, for they tend to share their prompt's prefix. */
    private List<LeasedItem> take(
            JobScheduler.Choice choice, AgentSession session, int items, long bytes) {
        LedgerJob job = choice.queue().job();
        long leaseNanos = mLots.leaseNanos(mState.runTimes().seconds(job));
        List<LeasedItem> taken = new ArrayList<>();
        long takenBytes = 0;
        int item = takeFree(choice.queue());
        while (item >= 0) {
            LeasedItem leased = lease(session, job, item, leaseNanos);
            taken.add(leased);
            takenBytes += leased.body().length + leased.made().bytes().length;
            boolean isMore = taken.size() < items && takenBytes < bytes;
            item = isMore ? takeFree(choice.queue()) : -1;
        }
        mState.scheduler().charge(choice, taken.size());
        return taken;
    }

    /** Tells whether the results of an organisation's items could be kept. */
    private boolean hasRoom(OrganisationId organisation) {
        return mState.ledger().hasRoomForResults(organisation, mState.settings().limits());
    }

    private int takeFree(JobQueue queue) {
        int item = queue.take(mStep.epochMillis());
        while (item >= 0 && mState.table().isLeased(queue.job().number(), item)) {
            item = queue.take(mStep.epochMillis());
        }
        return item;
    }

    private LeasedItem lease(AgentSession session, LedgerJob job, int item, long leaseNanos) {
        LeaseRef ref = new LeaseRef(job.number(), item, mState.nextFence());
        long expiry = mStep.nowNanos() + leaseNanos;
        mState.table().add(session, Lease.of(ref, session.agent(), expiry));
        return new LeasedItem(
                ref,
                job.organisation().value(),
                job.spec().service(),
                job.spec().repeatable(),
                job.spec().method(),
                job.spec().path(),
                job.spec().timeoutMillis(),
                job.spec().deadlineEpochMillis() - mStep.epochMillis(),
                job.items().made(item),
                ItemPayload.content(job.items().payload(item)));
    }

    void renew(AgentSession session, JobMessage.Renew renew) {
        long leaseNanos = mState.settings().maxLease().toNanos();
        List<LeaseRef> lost = renew.leases().stream().filter(ref -> !holds(session, ref)).toList();
        mStep.send(
                session.agent(),
                new JobMessage.Renewed(
                        mGroup, renew.sequence(), leaseNanos / EpochClock.NANOS_PER_MILLI, lost));
    }

    /** Tells whether the agent holds a lease, which is then renewed or taken over. */
    boolean holds(AgentSession session, LeaseRef ref) {
        long expiry = mStep.nowNanos() + mState.settings().maxLease().toNanos();
        Optional<Lease> held = mState.table().held(session.agent(), ref);
        held.ifPresent(lease -> lease.extend(expiry));
        return held.isPresent() || takeOver(session, ref, expiry);
    }

    /** Takes over a lease of an earlier term if nothing has happened to its item since. */
    private boolean takeOver(AgentSession session, LeaseRef ref, long expiry) {
        boolean isOpen =
                mState.isGrace()
                        && mState.isOfEarlierTerm(ref.fence())
                        && !mState.table().isLeased(ref.job(), ref.item())
                        && mState.ledger().job(ref.job()).filter(j -> isOpen(j, ref)).isPresent();
        if (isOpen) {
            mState.table().add(session, Lease.of(ref, session.agent(), expiry));
        }
        return isOpen;
    }

    private static boolean isOpen(LedgerJob job, LeaseRef ref) {
        if (ref.item() < 0 || ref.item() >= job.items().size()) {
            return false;
        }
        ItemState state = job.items().state(ref.item());
        boolean isUntried = !job.items().hasFailedUnder(ref.item(), ref.fence());
        return (state == ItemState.WAITING && isUntried)
                || (state == ItemState.STARTED
                        && job.items().run(ref.item()).fence() == ref.fence());
    }

    /** Ends leases whose agents are gone; started items are then in doubt. */
    void orphan(List<Lease> leases) {
        List<LeaseRef> refs = leases.stream().filter(l -> !l.isBusy()).map(Lease::ref).toList();
        List<LeaseRef> started = refs.stream().filter(this::isStarted).toList();
        mState.free(refs);
        lose(started);
    }

    private boolean isStarted(LeaseRef ref) {
        return mState.ledger().itemState(ref).filter(ItemState.STARTED::equals).isPresent();
    }

    private void lose(List<LeaseRef> refs) {
        if (refs.isEmpty()) {
            return;
        }
        mStep.log(EventCode.ITEMS_IN_DOUBT, refs.size() + " items of lost workers");
        mLog.propose(
                new JobCommand.Lose(mStep.epochMillis(), refs),
                outcome -> refs.forEach(this::jobChanged),
                kind -> mState.addUnowned(refs));
    }

    private void jobChanged(LeaseRef ref) {
        mState.ledger().job(ref.job()).ifPresent(mState::jobChanged);
    }

    /** Ends leases that ran out, and the grace time of a new term. */
    void tick() {
        orphan(mState.table().expired(mStep.nowNanos()));
        if (mState.isGraceOver()) {
            mState.endGrace();
            mState.ledger().jobs().filter(j -> j.items().open() > 0).forEach(this::collect);
        }
        lose(mState.takeUnowned());
        wake();
        mState.table().forgetSilent(mStep.nowNanos() - SILENT_NANOS);
    }

    /** Looks for work whose pause is over, or that could not be granted before. */
    private void wake() {
        mState.scheduler()
                .queues()
                .filter(queue -> queue.hasReady(mStep.epochMillis()))
                .forEach(queue -> mState.addFreshWork(queue.job().spec().service()));
    }

    /** Lets the items of earlier terms that no agent has brought back run, or end in doubt. */
    private void collect(LedgerJob job) {
        List<LeaseRef> started = new ArrayList<>();
        IntStream.range(0, job.items().size())
                .filter(item -> !mState.table().isLeased(job.number(), item))
                .forEach(
                        item -> {
                            ItemState state = job.items().state(item);
                            if (state == ItemState.WAITING) {
                                mState.putBack(new LeaseRef(job.number(), item, 0));
                            } else if (state == ItemState.STARTED) {
                                long fence = job.items().run(item).fence();
                                started.add(new LeaseRef(job.number(), item, fence));
                            }
                        });
        lose(started);
    }

    /** Tells the holder of the lease on an item that has ended to stop it. */
    void revokeEnded(LeaseRef ref) {
        mState.table()
                .current(ref)
                .filter(lease -> mState.ledger().itemState(ref).get().isEnded())
                .ifPresent(
                        lease -> {
                            mState.table().remove(lease.ref());
                            mStep.send(
                                    lease.agent(),
                                    new JobMessage.Revoke(mGroup, List.of(lease.ref())));
                        });
    }

    /** Tells agents to stop the items of a job that was cancelled before they started. */
    void revoke(LedgerJob job) {
        List<Lease> leases =
                mState.table().ofJob(job.number()).stream()
                        .filter(lease -> !isStarted(lease.ref()))
                        .toList();
        leases.forEach(lease -> mState.table().remove(lease.ref()));
        leases.stream()
                .map(Lease::agent)
                .distinct()
                .forEach(agent -> mStep.send(agent, revoke(agent, leases)));
    }

    private JobMessage.Revoke revoke(org.coltsfootproxy.base.HostId agent, List<Lease> leases) {
        return new JobMessage.Revoke(
                mGroup,
                leases.stream().filter(l -> l.agent().equals(agent)).map(Lease::ref).toList());
    }
}
