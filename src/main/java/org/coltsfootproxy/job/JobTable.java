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

/** The jobs of a ledger by number and by organisation, with the usage that quotas count. */
final class JobTable {
    /**
     * Multiple of the byte quotas up to which results are stored. Submits are refused at the quotas
     * themselves, so accepted jobs can still store their results.
     */
    private static final int RESULT_QUOTA_FACTOR = 2;

    private final Long2ObjectHashMap<LedgerJob> mByNumber = new Long2ObjectHashMap<>();
    private final Map<OrganisationId, Usage> mUsages = new LinkedHashMap<>();
    private long mTerm;
    private long mLastNumber;
    private long mBytes;
    private long mLastCommandMillis;

    private static final class Usage {
        private final Map<JobId, LedgerJob> mJobs = new LinkedHashMap<>();
        private long mOpenItems;
        private long mBytes;
    }

    private JobTable() {}

    static JobTable create() {
        return new JobTable();
    }

    /** Returns a table restored from a snapshot, without its jobs. */
    static JobTable restore(long term, long lastNumber, long lastCommandMillis) {
        JobTable table = new JobTable();
        table.mTerm = term;
        table.mLastNumber = lastNumber;
        table.mLastCommandMillis = lastCommandMillis;
        return table;
    }

    long term() {
        return mTerm;
    }

    long lastNumber() {
        return mLastNumber;
    }

    /** Records the leader time of a command. */
    void recordTime(long epochMillis) {
        mLastCommandMillis = Math.max(mLastCommandMillis, epochMillis);
    }

    long lastCommandMillis() {
        return mLastCommandMillis;
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

    /** Returns all jobs in the order in which they were begun. */
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

    /**
     * Throws {@link ErrorKind#RATE_EXCEEDED} if another job with this number of items would exceed
     * the quotas of the organisation.
     */
    void checkQuota(OrganisationId organisation, int items, JobLimits limits)
            throws ProxyException {
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

    /** Adds a job and counts its usage. */
    void put(LedgerJob job) {
        mByNumber.put(job.number(), job);
        Usage usage = mUsages.computeIfAbsent(job.organisation(), o -> new Usage());
        usage.mJobs.put(job.spec().id(), job);
        addUsage(job, job.openItems(), job.items().bytes());
    }

    private void addUsage(LedgerJob job, int items, long bytes) {
        Usage usage = mUsages.get(job.organisation());
        usage.mOpenItems += items;
        usage.mBytes += bytes;
        mBytes += bytes;
    }

    void remove(LedgerJob job) {
        addUsage(job, -job.openItems(), -job.items().bytes());
        mByNumber.remove(job.number());
        Usage usage = mUsages.get(job.organisation());
        usage.mJobs.remove(job.spec().id());
        if (usage.mJobs.isEmpty()) {
            mUsages.remove(job.organisation());
        }
    }

    /**
     * Adds all items, or throws and adds none: {@link ErrorKind#RATE_EXCEEDED} above the quota of
     * the organisation, {@link ErrorKind#STORAGE_FULL} above that of all organisations.
     */
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
        addUsage(job, 0, job.items().bytes() - before);
    }

    /**
     * Applies a transition to items of a job and updates the usage.
     *
     * @return the result of the transition, or {@code ifUnknown} if there is no such job
     */
    <T> T changeItems(
            long number, long epochMillis, T ifUnknown, Function<ItemTransitions, T> transition) {
        LedgerJob job = mByNumber.get(number);
        if (job == null) {
            return ifUnknown;
        }
        int open = job.openItems();
        long bytes = job.items().bytes();
        T result = transition.apply(ItemTransitions.of(job));
        job.update(epochMillis);
        addUsage(job, job.openItems() - open, job.items().bytes() - bytes);
        return result;
    }

    /** Cancels a job and those of its items that have not started. */
    void cancel(LedgerJob job, long epochMillis) {
        int open = job.openItems();
        long bytes = job.items().bytes();
        job.cancel(epochMillis);
        ItemTransitions transitions = ItemTransitions.of(job);
        for (int i = 0; i < job.items().size(); i++) {
            if (job.items().state(i) == ItemState.WAITING) {
                transitions.cancel(i);
            }
        }
        addUsage(job, job.openItems() - open, job.items().bytes() - bytes);
    }

    /** Removes expired jobs and returns their number. */
    int removeExpired(JobCommand.Expire expire) {
        List<LedgerJob> expired = jobs().filter(job -> isExpired(job, expire)).toList();
        expired.forEach(this::remove);
        return expired.size();
    }

    static boolean isExpired(LedgerJob job, JobCommand.Expire expire) {
        long age = expire.epochMillis() - job.touchedMillis();
        return job.state() == JobState.RECEIVING
                ? age > expire.receivingTimeoutMillis()
                : job.isSettled() && age > expire.retentionMillis();
    }

    boolean hasRoomForResults(OrganisationId organisation, JobLimits limits) {
        Usage usage = mUsages.get(organisation);
        long bytes = usage == null ? 0 : usage.mBytes;
        return bytes <= RESULT_QUOTA_FACTOR * limits.bytesPerOrganisation()
                && mBytes <= RESULT_QUOTA_FACTOR * limits.totalBytes();
    }
}
