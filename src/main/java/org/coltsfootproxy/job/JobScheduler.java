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
 * <p>First come jobs whose deadline is at risk at their organisation's share but can still be met,
 * the earliest deadline first, as long as their organisation is not too far ahead of its share.
 * Then comes the organisation that is furthest behind its share, and its oldest job.
 */
final class JobScheduler {
    /** Margin on the estimated time that a job still needs. */
    private static final double SAFETY = 1.25;

    private static final double MILLIS = 1_000;

    private final Map<Long, JobQueue> mQueues = new LinkedHashMap<>();
    private final FairShare mShare;
    private final RunTimes mRunTimes;
    private final double mAdvanceSeconds;

    /** A job chosen to run next. */
    record Choice(JobQueue queue, boolean forDeadline) {}

    private JobScheduler(FairShare share, RunTimes runTimes, double advanceSeconds) {
        mShare = share;
        mRunTimes = runTimes;
        mAdvanceSeconds = advanceSeconds;
    }

    static JobScheduler create(FairShare share, RunTimes runTimes, double advanceSeconds) {
        return new JobScheduler(share, runTimes, advanceSeconds);
    }

    void put(JobQueue queue) {
        mQueues.put(queue.job().number(), queue);
    }

    Optional<JobQueue> queue(long job) {
        return Optional.ofNullable(mQueues.get(job));
    }

    void remove(long job) {
        mQueues.remove(job);
        mRunTimes.forget(job);
    }

    void clear() {
        mQueues.clear();
        mRunTimes.clear();
    }

    Stream<JobQueue> queues() {
        return mQueues.values().stream();
    }

    /**
     * Returns the job to take an item from.
     *
     * @param slots batch slots of the service over the fleet
     * @param mayRun whether an organisation's items may run at all now
     */
    Optional<Choice> choose(
            ServiceId service, int slots, long epochMillis, Predicate<OrganisationId> mayRun) {
        List<JobQueue> ready =
                queues().filter(q -> service.covers(q.job().spec().service()))
                        .filter(q -> q.hasReady(epochMillis) && mayRun.test(q.organisation()))
                        .toList();
        double weights = weights(ready.stream());
        Optional<JobQueue> urgent =
                ready.stream()
                        .filter(q -> isAtRisk(q, slots, weights, epochMillis))
                        .filter(q -> mayAdvance(q.organisation(), slots))
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
                        Comparator.comparingDouble((JobQueue q) -> mShare.start(q.organisation()))
                                .thenComparingLong(q -> q.job().acceptedMillis())
                                .thenComparingLong(q -> q.job().number()));
    }

    private double weights(Stream<JobQueue> queues) {
        return queues.map(JobQueue::organisation).distinct().mapToDouble(mShare::weight).sum();
    }

    private boolean mayAdvance(OrganisationId organisation, int slots) {
        return mShare.aheadSeconds(organisation) < mAdvanceSeconds * slots;
    }

    /** Tells whether the job misses its deadline by share alone but could meet it by all slots. */
    private boolean isAtRisk(JobQueue queue, int slots, double weights, long epochMillis) {
        double left = (queue.job().spec().deadlineEpochMillis() - epochMillis) / MILLIS;
        double run = mRunTimes.seconds(queue.job());
        double work = queue.job().items().open() * run;
        double share = mShare.weight(queue.organisation()) / weights;
        double byShare = SAFETY * (work / (slots * share) + run);
        double byAll = work / slots;
        return left > 0 && byShare > left && byAll <= left;
    }

    /**
     * Charges the expected run time of items to their organisation.
     *
     * <p>To be called once for a choice: virtual time moves to the start of its first item, and not
     * past the organisations that wait.
     */
    void charge(Choice choice, int items) {
        JobQueue queue = choice.queue();
        double run = mRunTimes.seconds(queue.job());
        mShare.charge(queue.organisation(), items * run, !choice.forDeadline());
    }

    /**
     * Returns when the job is expected to finish at its organisation's share, in milliseconds since
     * 1970, or 0 if it is not running or nothing serves it.
     */
    long estimateEpochMillis(LedgerJob job, int slots, long epochMillis) {
        if (job.state() != JobState.RUNNING || slots == 0) {
            return 0;
        }
        Stream<JobQueue> rivals =
                queues().filter(q -> q.job().spec().service().equals(job.spec().service()))
                        .filter(q -> q.job().state() == JobState.RUNNING);
        double weights = Math.max(weights(rivals), mShare.weight(job.organisation()));
        double share = mShare.weight(job.organisation()) / weights;
        double run = mRunTimes.seconds(job);
        double seconds = job.items().open() * run / (slots * share);
        return epochMillis + (long) (MILLIS * Math.max(seconds, run));
    }
}
