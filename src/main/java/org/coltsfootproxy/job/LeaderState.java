package org.coltsfootproxy.job;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.message.ItemState;
import org.coltsfootproxy.message.JobState;
import org.coltsfootproxy.message.LeaseRef;

/**
 * What a leader keeps in memory for its term: leases, and the items that wait for one.
 *
 * <p>At the start of a term the items of earlier terms wait for a grace time, in which their agents
 * bring the leases back.
 */
final class LeaderState {
    private static final int SEQUENCE_BITS = 40;
    private static final double MILLIS = 1_000;

    private final JobLedger mLedger;
    private final StepClock mStep;
    private final JobSettings mSettings;
    private final RunTimes mRunTimes = new RunTimes();
    private final LeaseTable mTable = new LeaseTable();
    private final Set<ServiceId> mFreshWork = new LinkedHashSet<>();
    private final Set<LeaseRef> mUnowned = new LinkedHashSet<>();
    private final FairShare mShare;
    private final JobScheduler mScheduler;
    private long mTerm;
    private long mSequence;
    private boolean mIsGrace;
    private long mGraceEndNanos;

    LeaderState(JobLedger ledger, StepClock step, JobSettings settings, FairShare share) {
        mLedger = ledger;
        mStep = step;
        mSettings = settings;
        mShare = share;
        double advanceSeconds = settings.advance().toMillis() / MILLIS;
        mScheduler = JobScheduler.create(share, mRunTimes, advanceSeconds);
    }

    void open(long term) {
        clear();
        mTerm = term;
        mIsGrace = true;
        mGraceEndNanos = mStep.nowNanos() + mSettings.maxLease().toNanos();
        mLedger.jobs()
                .filter(job -> job.items().open() > 0)
                .forEach(job -> mScheduler.put(JobQueue.empty(job)));
    }

    void clear() {
        mTable.clear();
        mScheduler.clear();
        mFreshWork.clear();
        mUnowned.clear();
        mSequence = 0;
        mIsGrace = false;
    }

    JobLedger ledger() {
        return mLedger;
    }

    StepClock step() {
        return mStep;
    }

    JobSettings settings() {
        return mSettings;
    }

    LeaseTable table() {
        return mTable;
    }

    JobScheduler scheduler() {
        return mScheduler;
    }

    RunTimes runTimes() {
        return mRunTimes;
    }

    FairShare share() {
        return mShare;
    }

    boolean isGrace() {
        return mIsGrace;
    }

    boolean isGraceOver() {
        return mIsGrace && mStep.nowNanos() - mGraceEndNanos >= 0;
    }

    void endGrace() {
        mIsGrace = false;
    }

    long graceEndNanos() {
        return mGraceEndNanos;
    }

    long nextFence() {
        return (mTerm << SEQUENCE_BITS) + ++mSequence;
    }

    /** Tells whether a fencing number is of a leader before this one. */
    boolean isOfEarlierTerm(long fence) {
        return fence >>> SEQUENCE_BITS < mTerm;
    }

    /** Ends leases whose agents are gone or gave them back, and lets their items run elsewhere. */
    void free(Collection<LeaseRef> leases) {
        leases.stream().filter(mTable::remove).forEach(this::putBack);
    }

    /** Lets an item wait for its turn if it is in the state for it. */
    void putBack(LeaseRef ref) {
        if (mLedger.itemState(ref).filter(ItemState.WAITING::equals).isEmpty()) {
            return;
        }
        mScheduler.queue(ref.job()).ifPresent(queue -> putBack(queue, ref.item()));
    }

    void putBack(JobQueue queue, int item) {
        queue.putBack(item);
        mFreshWork.add(queue.job().spec().service());
    }

    /** Brings the queues in line with a job that was accepted, cancelled, settled or has ended. */
    void jobChanged(LedgerJob job) {
        Optional<JobQueue> queue = mScheduler.queue(job.number());
        if (job.state() == JobState.RUNNING && queue.isEmpty()) {
            JobQueue added = JobQueue.ofNew(job);
            mScheduler.put(added);
            mFreshWork.add(job.spec().service());
        } else if (queue.isPresent() && job.items().open() == 0) {
            mScheduler.remove(job.number());
        }
    }

    /** Returns and clears the services that work has come up for. */
    Set<ServiceId> takeFreshWork() {
        Set<ServiceId> fresh = new LinkedHashSet<>(mFreshWork);
        mFreshWork.clear();
        return fresh;
    }

    void addFreshWork(ServiceId service) {
        mFreshWork.add(service);
    }

    boolean hasFreshWork() {
        return !mFreshWork.isEmpty();
    }

    /** Remembers started items whose loss could not be recorded yet. */
    void addUnowned(Collection<LeaseRef> refs) {
        mUnowned.addAll(refs);
    }

    List<LeaseRef> takeUnowned() {
        List<LeaseRef> refs = List.copyOf(mUnowned);
        mUnowned.clear();
        return refs;
    }

    /** Returns the batch slots of a service over the fleet, as far as known. */
    int slots(ServiceId service) {
        return mTable.sessions().mapToInt(session -> session.slots(service)).sum();
    }

    long estimateEpochMillis(LedgerJob job) {
        return mScheduler.estimateEpochMillis(
                job, slots(job.spec().service()), mStep.epochMillis());
    }
}
