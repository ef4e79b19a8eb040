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
 * The state that a leader keeps in memory for its term: leases, and the queues of items that wait
 * for one.
 *
 * <p>A term starts with a grace period, in which agents renew the leases that they hold from
 * earlier terms. Items of earlier terms are not leased again until it is over.
 */
final class LeaderState {
    private static final int SEQUENCE_BITS = 40;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final JobLedger mLedger;
    private final StepContext mStep;
    private final JobSettings mSettings;
    private final JobServices mServices;
    private final RunTimes mRunTimes;
    private final ItemLeaseTable mLeaseTable = new ItemLeaseTable();
    private final Set<ServiceId> mServicesWithWork = new LinkedHashSet<>();
    private final Set<LeaseRef> mUnrecordedLosses = new LinkedHashSet<>();
    private final FairShare mShare;
    private final JobScheduler mScheduler;
    private long mTerm;
    private long mSequence;
    private boolean mIsGracePeriod;
    private long mGraceEndNanos;

    LeaderState(
            JobLedger ledger,
            StepContext step,
            JobSettings settings,
            FairShare share,
            JobServices services) {
        mLedger = ledger;
        mStep = step;
        mSettings = settings;
        mShare = share;
        mServices = services;
        mRunTimes = new RunTimes(services);
        double advanceSeconds = settings.maxAdvance().toMillis() / MILLIS_PER_SECOND;
        mScheduler = JobScheduler.create(share, mRunTimes, services, advanceSeconds);
    }

    void open(long term) {
        clear();
        mTerm = term;
        mIsGracePeriod = true;
        mGraceEndNanos = mStep.nowNanos() + mSettings.maxLease().toNanos();
        mLedger.jobs()
                .filter(job -> job.items().openCount() > 0)
                .forEach(job -> mScheduler.put(JobQueue.empty(job)));
    }

    void clear() {
        mLeaseTable.clear();
        mScheduler.clear();
        mServicesWithWork.clear();
        mUnrecordedLosses.clear();
        mSequence = 0;
        mIsGracePeriod = false;
    }

    JobLedger ledger() {
        return mLedger;
    }

    StepContext step() {
        return mStep;
    }

    JobSettings settings() {
        return mSettings;
    }

    ItemLeaseTable leaseTable() {
        return mLeaseTable;
    }

    JobScheduler scheduler() {
        return mScheduler;
    }

    RunTimes runTimes() {
        return mRunTimes;
    }

    /** Returns the service whose agents run the items of a job now. */
    ServiceId service(LedgerJob job) {
        return mServices.of(job);
    }

    FairShare share() {
        return mShare;
    }

    boolean isGracePeriod() {
        return mIsGracePeriod;
    }

    boolean isGraceOver() {
        return mIsGracePeriod && mStep.nowNanos() - mGraceEndNanos >= 0;
    }

    void endGrace() {
        mIsGracePeriod = false;
    }

    long graceEndNanos() {
        return mGraceEndNanos;
    }

    long nextFence() {
        return (mTerm << SEQUENCE_BITS) + ++mSequence;
    }

    /** Returns whether a fencing number was issued in an earlier term. */
    boolean isOfEarlierTerm(long fence) {
        return fence >>> SEQUENCE_BITS < mTerm;
    }

    /**
     * Ends leases whose agents are lost, gave them back or were refused a start, and queues their
     * items again.
     */
    void release(Collection<LeaseRef> leases) {
        leases.stream().filter(mLeaseTable::remove).forEach(this::requeue);
    }

    /** Queues an item if it is in the waiting state. */
    void requeue(LeaseRef ref) {
        if (mLedger.itemState(ref).filter(ItemState.WAITING::equals).isEmpty()) {
            return;
        }
        mScheduler.queue(ref.job()).ifPresent(queue -> requeue(queue, ref.item()));
    }

    void requeue(JobQueue queue, int item) {
        queue.requeue(item);
        mServicesWithWork.add(mServices.of(queue.job()));
    }

    /** Updates the queues after a job was accepted, cancelled, settled or has ended. */
    void jobChanged(LedgerJob job) {
        Optional<JobQueue> queue = mScheduler.queue(job.number());
        if (job.state() == JobState.RUNNING && queue.isEmpty()) {
            JobQueue added = JobQueue.ofNew(job);
            mScheduler.put(added);
            mServicesWithWork.add(mServices.of(job));
        } else if (queue.isPresent() && job.items().openCount() == 0) {
            mScheduler.remove(job.number());
        }
    }

    /** Returns and clears the services that have new work. */
    Set<ServiceId> takeServicesWithWork() {
        Set<ServiceId> services = new LinkedHashSet<>(mServicesWithWork);
        mServicesWithWork.clear();
        return services;
    }

    /** Notes that a job has work whose agents may be waiting. */
    void addServiceWithWork(LedgerJob job) {
        mServicesWithWork.add(mServices.of(job));
    }

    boolean hasServiceWithWork() {
        return !mServicesWithWork.isEmpty();
    }

    /** Adds started items without an agent whose loss still has to be recorded in the ledger. */
    void addUnrecordedLosses(Collection<LeaseRef> refs) {
        mUnrecordedLosses.addAll(refs);
    }

    List<LeaseRef> takeUnrecordedLosses() {
        List<LeaseRef> refs = List.copyOf(mUnrecordedLosses);
        mUnrecordedLosses.clear();
        return refs;
    }

    /**
     * Returns the batch slots of a service in the whole fleet, according to the agents' last pulls.
     */
    int slots(ServiceId service) {
        return mLeaseTable.sessions().mapToInt(session -> session.slots(service)).sum();
    }

    long estimateEpochMillis(LedgerJob job) {
        return mScheduler.estimateEpochMillis(job, slots(mServices.of(job)), mStep.epochMillis());
    }
}
