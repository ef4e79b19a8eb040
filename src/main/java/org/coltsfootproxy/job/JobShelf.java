package org.coltsfootproxy.job;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Stream;
import org.agrona.collections.Long2ObjectHashMap;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.JobId;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.message.ItemState;
import org.coltsfootproxy.message.JobItem;
import org.coltsfootproxy.message.JobSpec;
import org.coltsfootproxy.message.JobState;

/** The jobs of a ledger by number and by organisation, with what each organisation uses. */
final class JobShelf {
    /** Results may go this far past the bytes that submits are refused at. */
    private static final int RESULT_ROOM_FACTOR = 2;

    private final Long2ObjectHashMap<LedgerJob> mByNumber = new Long2ObjectHashMap<>();
    private final Map<OrganisationId, Usage> mUsages = new LinkedHashMap<>();
    private long mTerm;
    private long mLastNumber;
    private long mBytes;
    private long mLastMillis;

    private static final class Usage {
        private final Map<JobId, LedgerJob> mJobs = new LinkedHashMap<>();
        private long mOpenItems;
        private long mBytes;
    }

    private JobShelf() {}

    static JobShelf create() {
        return new JobShelf();
    }

    /** Returns a shelf as a snapshot tells it; its jobs are still to be restored. */
    static JobShelf restore(long term, long lastNumber, long lastMillis) {
        JobShelf shelf = new JobShelf();
        shelf.mTerm = term;
        shelf.mLastNumber = lastNumber;
        shelf.mLastMillis = lastMillis;
        return shelf;
    }

    long term() {
        return mTerm;
    }

    long lastNumber() {
        return mLastNumber;
    }

    /** Notes the time that a command brings. */
    void sawTime(long epochMillis) {
        mLastMillis = Math.max(mLastMillis, epochMillis);
    }

    long lastMillis() {
        return mLastMillis;
    }

    long nextTerm() {
        return ++mTerm;
    }

    long bytes() {
        return mBytes;
    }

    int size() {
        return mByNumber.size();
    }

    /** Returns all jobs in the order of their first arrival. */
    Stream<LedgerJob> jobs() {
        return mByNumber.values().stream()
                .sorted(java.util.Comparator.comparingLong(LedgerJob::number));
    }

    Stream<LedgerJob> jobs(OrganisationId organisation) {
        Usage usage = mUsages.get(organisation);
        return usage == null ? Stream.empty() : usage.mJobs.values().stream();
    }

    Optional<LedgerJob> find(OrganisationId organisation, JobId job) {
        return Optional.ofNullable(mUsages.get(organisation)).map(usage -> usage.mJobs.get(job));
    }

    Optional<LedgerJob> find(long number) {
        return Optional.ofNullable(mByNumber.get(number));
    }

    LedgerJob get(OrganisationId organisation, JobId job) throws ProxyException {
        return find(organisation, job)
                .orElseThrow(
                        () -> ProxyException.of(ErrorKind.NOT_FOUND, "no job has the id " + job));
    }

    /** Throws if the organisation may not have another job with this number of items. */
    void checkRoom(OrganisationId organisation, int items, JobLimits limits) throws ProxyException {
        Usage usage = mUsages.getOrDefault(organisation, new Usage());
        if (usage.mJobs.size() >= limits.jobsPerOrganisation()) {
            throw ProxyException.of(
                    ErrorKind.RATE_EXCEEDED,
                    "the organisation has its most jobs, " + limits.jobsPerOrganisation());
        }
        if (usage.mOpenItems + items > limits.itemsPerOrganisation()) {
            String detail = "with this job the organisation would have more than %d open items";
            throw ProxyException.of(
                    ErrorKind.RATE_EXCEEDED, String.format(detail, limits.itemsPerOrganisation()));
        }
    }

    LedgerJob begin(OrganisationId organisation, JobSpec spec, long epochMillis) {
        LedgerJob job = LedgerJob.begin(++mLastNumber, organisation, spec, epochMillis);
        put(job);
        return job;
    }

    /** Adds a job with all that it uses. */
    void put(LedgerJob job) {
        mByNumber.put(job.number(), job);
        Usage usage = mUsages.computeIfAbsent(job.organisation(), o -> new Usage());
        usage.mJobs.put(job.spec().id(), job);
        account(job, job.openItems(), job.items().bytes());
    }

    private void account(LedgerJob job, int items, long bytes) {
        Usage usage = mUsages.get(job.organisation());
        usage.mOpenItems += items;
        usage.mBytes += bytes;
        mBytes += bytes;
    }

    void remove(LedgerJob job) {
        account(job, -job.openItems(), -job.items().bytes());
        mByNumber.remove(job.number());
        Usage usage = mUsages.get(job.organisation());
        usage.mJobs.remove(job.spec().id());
        if (usage.mJobs.isEmpty()) {
            mUsages.remove(job.organisation());
        }
    }

    /** Adds items, all or none. */
    void append(LedgerJob job, List<JobItem> items, JobLimits limits) throws ProxyException {
        long bytes = items.stream().mapToLong(ItemTable::bytesOf).sum();
        if (mUsages.get(job.organisation()).mBytes + bytes > limits.bytesPerOrganisation()) {
            String detail = "with these items the organisation would keep more than %d bytes";
            throw ProxyException.of(
                    ErrorKind.RATE_EXCEEDED, String.format(detail, limits.bytesPerOrganisation()));
        }
        if (mBytes + bytes > limits.totalBytes()) {
            throw ProxyException.of(
                    ErrorKind.STORAGE_FULL, "the control hosts keep their most bytes of jobs");
        }
        long before = job.items().bytes();
        items.forEach(job.items()::add);
        account(job, 0, job.items().bytes() - before);
    }

    /** Changes items of a job by a step and keeps account of what it uses. */
    <T> T change(long number, long epochMillis, T ifUnknown, Function<ItemLife, T> step) {
        LedgerJob job = mByNumber.get(number);
        if (job == null) {
            return ifUnknown;
        }
        int open = job.openItems();
        long bytes = job.items().bytes();
        T result = step.apply(ItemLife.of(job));
        job.update(epochMillis);
        account(job, job.openItems() - open, job.items().bytes() - bytes);
        return result;
    }

    /** Keeps the job's items that have not started from running. */
    void cancel(LedgerJob job, long epochMillis) {
        int open = job.openItems();
        long bytes = job.items().bytes();
        job.cancel(epochMillis);
        ItemLife life = ItemLife.of(job);
        for (int i = 0; i < job.items().size(); i++) {
            if (job.items().state(i) == ItemState.WAITING) {
                life.cancel(i);
            }
        }
        account(job, job.openItems() - open, job.items().bytes() - bytes);
    }

    /** Removes what is kept no longer and returns the number of jobs removed. */
    int removeExpired(JobCommand.Expire expire) {
        List<LedgerJob> expired = jobs().filter(job -> isExpired(job, expire)).toList();
        expired.forEach(this::remove);
        return expired.size();
    }

    static boolean isExpired(LedgerJob job, JobCommand.Expire expire) {
        long age = expire.epochMillis() - job.touchedMillis();
        return job.state() == JobState.RECEIVING
                ? age > expire.receivingMillis()
                : job.isSettled() && age > expire.retentionMillis();
    }

    boolean hasRoomForResults(OrganisationId organisation, JobLimits limits) {
        Usage usage = mUsages.get(organisation);
        long bytes = usage == null ? 0 : usage.mBytes;
        return bytes <= RESULT_ROOM_FACTOR * limits.bytesPerOrganisation()
                && mBytes <= RESULT_ROOM_FACTOR * limits.totalBytes();
    }
}
