package org.coltsfootproxy.job;

import java.util.LinkedHashMap;
import java.util.Map;
import org.coltsfootproxy.base.Metric;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.TrafficClass;

/** Reports from time to time how much batch work waits and whether deadlines are at risk. */
final class JobMeter {
    private static final long PERIOD_NANOS = 5_000_000_000L;
    private static final double MILLIS = 1_000;

    private final LeaderState mState;
    private final Map<OrganisationId, Backlog> mLast = new LinkedHashMap<>();
    private long mNextNanos = Long.MIN_VALUE;

    /** What waits of one organisation. */
    private record Backlog(long items, long oldestMillis, int atRisk) {
        static final Backlog NONE = new Backlog(0, Long.MAX_VALUE, 0);

        Backlog plus(Backlog other) {
            return new Backlog(
                    items + other.items,
                    Math.min(oldestMillis, other.oldestMillis),
                    atRisk + other.atRisk);
        }
    }

    JobMeter(LeaderState state) {
        mState = state;
    }

    void tick() {
        long now = mState.step().nowNanos();
        if (mNextNanos != Long.MIN_VALUE && now - mNextNanos < 0) {
            return;
        }
        mNextNanos = now + PERIOD_NANOS;
        mLast.replaceAll((organisation, backlog) -> Backlog.NONE);
        mState.scheduler()
                .queues()
                .map(JobQueue::job)
                .forEach(job -> mLast.merge(job.organisation(), backlog(job), Backlog::plus));
        mLast.forEach(this::measure);
        mLast.values().removeIf(Backlog.NONE::equals);
        mState.share().trim();
    }

    private Backlog backlog(LedgerJob job) {
        long estimate = mState.estimateEpochMillis(job);
        boolean isAtRisk = estimate > job.spec().deadlineEpochMillis();
        return new Backlog(job.items().open(), job.acceptedMillis(), isAtRisk ? 1 : 0);
    }

    private void measure(OrganisationId organisation, Backlog backlog) {
        String name = organisation.value();
        String batch = TrafficClass.BATCH.name();
        double age =
                backlog.items() == 0
                        ? 0
                        : (mState.step().epochMillis() - backlog.oldestMillis()) / MILLIS;
        mState.step().measure(Metric.ITEMS_WAITING, name, batch, backlog.items());
        mState.step().measure(Metric.OLDEST_ITEM_SECONDS, name, batch, age);
        mState.step().measure(Metric.JOBS_AT_RISK, name, batch, backlog.atRisk());
    }
}
