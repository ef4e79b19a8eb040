package org.coltsfootproxy.job;

import java.util.LinkedHashMap;
import java.util.Map;
import org.coltsfootproxy.base.Metric;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.TrafficClass;

/** Measures every 5 s how much batch work waits and how many jobs may miss their deadlines. */
final class JobMetrics {
    private static final long PERIOD_NANOS = 5_000_000_000L;
    private static final double MILLIS_PER_SECOND = 1_000;

    private final LeaderState mState;
    private final Map<OrganisationId, Backlog> mBacklogs = new LinkedHashMap<>();
    private long mNextTickNanos = Long.MIN_VALUE;

    /** The backlog of one organisation. */
    private record Backlog(long items, long oldestMillis, int atRisk) {
        static final Backlog NONE = new Backlog(0, Long.MAX_VALUE, 0);

        Backlog plus(Backlog other) {
            return new Backlog(
                    items + other.items,
                    Math.min(oldestMillis, other.oldestMillis),
                    atRisk + other.atRisk);
        }
    }

    JobMetrics(LeaderState state) {
        mState = state;
    }

    void tick() {
        long now = mState.step().nowNanos();
        if (mNextTickNanos != Long.MIN_VALUE && now - mNextTickNanos < 0) {
            return;
        }
        mNextTickNanos = now + PERIOD_NANOS;
        mBacklogs.replaceAll((organisation, backlog) -> Backlog.NONE);
        mState.scheduler()
                .queues()
                .map(JobQueue::job)
                .forEach(job -> mBacklogs.merge(job.organisation(), backlog(job), Backlog::plus));
        mBacklogs.forEach(this::measure);
        mBacklogs.values().removeIf(Backlog.NONE::equals);
        mState.share().trim();
    }

    private Backlog backlog(LedgerJob job) {
        long estimate = mState.estimateEpochMillis(job);
        boolean isAtRisk = estimate > job.spec().deadlineEpochMillis();
        return new Backlog(job.items().openCount(), job.acceptedMillis(), isAtRisk ? 1 : 0);
    }

    private void measure(OrganisationId organisation, Backlog backlog) {
        String name = organisation.value();
        String batch = TrafficClass.BATCH.name();
        double age =
                backlog.items() == 0
                        ? 0
                        : (mState.step().epochMillis() - backlog.oldestMillis())
                                / MILLIS_PER_SECOND;
        mState.step().measure(Metric.ITEMS_WAITING, name, batch, backlog.items());
        mState.step().measure(Metric.OLDEST_ITEM_SECONDS, name, batch, age);
        mState.step().measure(Metric.JOBS_AT_RISK, name, batch, backlog.atRisk());
    }
}
