package org.coltsfootproxy.job;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.message.JobState;

/**
 * Chooses the job whose items run next.
 *
 * <p>Jobs whose deadline is at risk at their organisation's fair share but can still be met come
 * first, the earliest deadline first, unless their organisation is too far ahead of its share.
 * Otherwise the organisation that is furthest behind its share is chosen, and its oldest job.
 */
final class JobScheduler {
    /** Factor by which the estimated time that a job still needs is multiplied. */
    private static final double SAFETY_FACTOR = 1.25;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final Map<Long, JobQueue> mQueues = new LinkedHashMap<>();
    private final FairShare mShare;
    private final RunTimes mRunTimes;
    private final JobServices mServices;
    private final double mMaxAdvanceSeconds;

    /**
     * A job chosen to run next, and whether it was chosen for its deadline rather than by fair
     * share.
     */
    record Choice(JobQueue queue, boolean forDeadline) {}

    private JobScheduler(
            FairShare share, RunTimes runTimes, JobServices services, double maxAdvanceSeconds) {
        mShare = share;
        mRunTimes = runTimes;
        mServices = services;
        mMaxAdvanceSeconds = maxAdvanceSeconds;
    }

    static JobScheduler create(
            FairShare share, RunTimes runTimes, JobServices services, double maxAdvanceSeconds) {
        return new JobScheduler(share, runTimes, services, maxAdvanceSeconds);
    }

    void put(JobQueue queue) {
        mQueues.put(queue.job().number(), queue);
    }

    Optional<JobQueue> queue(long job) {
        return Optional.ofNullable(mQueues.get(job));
    }

    void remove(long job) {
        mQueues.remove(job);
        mRunTimes.remove(job);
    }

    void clear() {
        mQueues.clear();
        mRunTimes.clear();
    }

    Stream<JobQueue> queues() {
        return mQueues.values().stream();
    }

    /**
     * Returns the job whose items are leased next, or empty if there is none.
     *
     * @param slots batch slots of the service in the whole fleet
     * @param mayRun whether items of an organisation may run now
     */
    Optional<Choice> choose(
            ServiceId service, int slots, long epochMillis, Predicate<OrganisationId> mayRun) {
        List<JobQueue> ready =
                queues().filter(q -> service.covers(mServices.of(q.job())))
                        .filter(q -> q.hasReady(epochMillis) && mayRun.test(q.organisation()))
                        .toList();
        double totalWeight = totalWeight(ready.stream());
        Optional<JobQueue> urgent =
                ready.stream()
                        .filter(q -> isAtRisk(q, slots, totalWeight, epochMillis))
                        .filter(q -> isWithinAdvance(q.organisation(), slots))
                        .min(
                                Comparator.comparingLong(
                                                (JobQueue q) ->
                                                        q.job().spec().deadlineEpochMillis())
                                        .thenComparingLong(q -> q.job().number()));
        return urgent.map(q -> new Choice(q, true))
                .or(() -> byShare(ready).map(q -> new Choice(q, false)));
    }

    private Optional<JobQueue> byShare(List<JobQueue> ready) {
        return ready.stream()
                .min(
                        Comparator.comparingDouble(
                                        (JobQueue q) -> mShare.startTag(q.organisation()))
                                .thenComparingLong(q -> q.job().acceptedMillis())
                                .thenComparingLong(q -> q.job().number()));
    }

    private double totalWeight(Stream<JobQueue> queues) {
        return queues.map(JobQueue::organisation).distinct().mapToDouble(mShare::weight).sum();
    }

    private boolean isWithinAdvance(OrganisationId organisation, int slots) {
        return mShare.aheadSeconds(organisation) < mMaxAdvanceSeconds * slots;
    }

    /**
     * Returns whether the job would miss its deadline at its fair share but could meet it with all
     * slots.
     */
    private boolean isAtRisk(JobQueue queue, int slots, double totalWeight, long epochMillis) {
        double remainingSeconds =
                (queue.job().spec().deadlineEpochMillis() - epochMillis) / MILLIS_PER_SECOND;
        double runSeconds = mRunTimes.seconds(queue.job());
        double workSeconds = queue.job().items().openCount() * runSeconds;
        double share = mShare.weight(queue.organisation()) / totalWeight;
        double shareSeconds = SAFETY_FACTOR * (workSeconds / (slots * share) + runSeconds);
        double allSlotsSeconds = workSeconds / slots;
        return remainingSeconds > 0
                && shareSeconds > remainingSeconds
                && allSlotsSeconds <= remainingSeconds;
    }

    /**
     * Charges the expected run time of the items to their organisation.
     *
     * <p>Must be called once per choice: virtual time then advances to the start tag of the first
     * item only, not past the organisations that still wait.
     */
    void charge(Choice choice, int items) {
        JobQueue queue = choice.queue();
        double runSeconds = mRunTimes.seconds(queue.job());
        mShare.charge(queue.organisation(), items * runSeconds, !choice.forDeadline());
    }

    /**
     * Returns when the job is expected to finish at its organisation's share, in milliseconds since
     * 1970, or 0 if it is not running or no agent serves it.
     */
    long estimateEpochMillis(LedgerJob job, int slots, long epochMillis) {
        if (job.state() != JobState.RUNNING || slots == 0) {
            return 0;
        }
        Stream<JobQueue> competitors =
                queues().filter(q -> mServices.of(q.job()).equals(mServices.of(job)))
                        .filter(q -> q.job().state() == JobState.RUNNING);
        double totalWeight = Math.max(totalWeight(competitors), mShare.weight(job.organisation()));
        double share = mShare.weight(job.organisation()) / totalWeight;
        double runSeconds = mRunTimes.seconds(job);
        double seconds = job.items().openCount() * runSeconds / (slots * share);
        return epochMillis + (long) (MILLIS_PER_SECOND * Math.max(seconds, runSeconds));
    }
}
