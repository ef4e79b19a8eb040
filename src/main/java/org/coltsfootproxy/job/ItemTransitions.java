package org.coltsfootproxy.job;

import org.coltsfootproxy.message.ItemProgress;
import org.coltsfootproxy.message.ItemReport;
import org.coltsfootproxy.message.ItemState;
import org.coltsfootproxy.message.JobState;
import org.coltsfootproxy.message.LeaseRef;
import org.coltsfootproxy.message.ReportVerdict;

/**
 * State transitions of a job's items, decided by the replicated state alone.
 *
 * <p>An item that may not be repeated runs only under the fencing number of its durable start. The
 * run ends only by a report with that number or by an operator's decision; if its agent is lost,
 * the item stays in doubt until then.
 */
final class ItemTransitions {
    private static final int MAX_ERROR_CHARS = 300;

    private final LedgerJob mJob;
    private final ItemTable mItems;

    private ItemTransitions(LedgerJob job) {
        mJob = job;
        mItems = job.items();
    }

    static ItemTransitions of(LedgerJob job) {
        return new ItemTransitions(job);
    }

    /**
     * Records a durable start if the item is waiting and not backing off; returns whether the agent
     * may call the target under this lease.
     */
    boolean start(LeaseRef lease, String agent, long epochMillis) {
        if (!isKnownItem(lease) || mJob.spec().repeatable()) {
            return false;
        }
        int item = lease.item();
        if (mItems.state(item) == ItemState.STARTED) {
            return mItems.run(item).fence() == lease.fence();
        }
        if (mItems.state(item) != ItemState.WAITING || isBackingOff(item, epochMillis)) {
            return false;
        }
        mItems.transition(item, ItemEvent.START);
        mItems.setRun(item, new ItemTable.Run(lease.fence(), agent));
        return true;
    }

    private boolean isBackingOff(int item, long epochMillis) {
        ItemTable.FailureRecord failure = mItems.failure(item);
        return failure != null && failure.notBeforeEpochMillis() > epochMillis;
    }

    private boolean isKnownItem(LeaseRef lease) {
        return lease.item() >= 0 && lease.item() < mItems.size();
    }

    /** Records that the agent of a started item is lost; returns whether the item changed. */
    boolean recordLoss(LeaseRef lease, long epochMillis) {
        if (!isKnownItem(lease) || !isRunOf(lease, ItemState.STARTED)) {
            return false;
        }
        String agent = mItems.run(lease.item()).agent();
        endInDoubt(lease, "the worker " + agent + " was lost", epochMillis);
        return true;
    }

    private boolean isRunOf(LeaseRef lease, ItemState state) {
        return mItems.state(lease.item()) == state
                && mItems.run(lease.item()).fence() == lease.fence();
    }

    /**
     * Appends a piece to an item's partial output if it directly follows what is kept, or replaces
     * that by the first piece of a run that has begun anew; tells whether it did.
     */
    boolean progress(ItemProgress progress) {
        LeaseRef lease = progress.lease();
        if (!isKnownItem(lease)
                || !mJob.spec().repeatable()
                || mItems.state(lease.item()) != ItemState.WAITING) {
            return false;
        }
        KeptOutput kept = mItems.keptOutput(lease.item());
        boolean isContinued = kept.isContinuedBy(progress);
        if (!isContinued && !kept.isReplacedBy(progress)) {
            return false;
        }
        if (!isContinued) {
            mItems.setKeptOutput(lease.item(), KeptOutput.NONE);
        }
        mItems.appendPartialOutput(progress);
        return true;
    }

    /** Applies an agent's report. */
    ReportVerdict report(ItemReport report, RetryPolicy retry, long epochMillis) {
        if (!isKnownItem(report.lease())) {
            return ReportVerdict.DROPPED;
        }
        return switch (mItems.state(report.lease().item())) {
            case WAITING ->
                    mJob.spec().repeatable()
                            ? record(report, retry, epochMillis)
                            : refuseUnstarted(report);
            case STARTED, MAY_HAVE_RUN ->
                    isRunOf(report.lease(), mItems.state(report.lease().item()))
                            ? record(report, retry, epochMillis)
                            : ReportVerdict.DROPPED;
            case CANCELLED -> ReportVerdict.CANCELLED;
            case DONE, FAILED -> ReportVerdict.DROPPED;
        };
    }

    private static ReportVerdict refuseUnstarted(ItemReport report) {
        return report.outcome() == ItemReport.Outcome.GIVEN_BACK
                ? ReportVerdict.RECORDED
                : ReportVerdict.DROPPED;
    }

    private ReportVerdict record(ItemReport report, RetryPolicy retry, long epochMillis) {
        int item = report.lease().item();
        return switch (report.outcome()) {
            case DONE -> end(item, ItemEvent.COMPLETE, report);
            case REFUSED -> {
                addFailure(report.lease(), attempts(item) + 1, epochMillis, report.error());
                yield end(item, ItemEvent.GIVE_UP, report);
            }
            case ATTEMPT_FAILED -> failAttempt(report, retry, epochMillis);
            case MAY_HAVE_RUN -> {
                if (mJob.spec().repeatable()) {
                    yield failAttempt(report, retry, epochMillis);
                }
                endInDoubt(report.lease(), report.error(), epochMillis);
                yield ReportVerdict.RECORDED;
            }
            case GIVEN_BACK -> returnToWaiting(item);
        };
    }

    private ReportVerdict end(int item, ItemEvent event, ItemReport report) {
        mItems.transition(item, event);
        mItems.setResult(item, report.status(), report.body());
        mItems.clearRun(item);
        return ReportVerdict.RECORDED;
    }

    private ReportVerdict failAttempt(ItemReport report, RetryPolicy retry, long epochMillis) {
        int item = report.lease().item();
        if (mItems.hasFailedUnder(item, report.lease().fence())) {
            return ReportVerdict.DROPPED;
        }
        int attempts = attempts(item) + 1;
        addFailure(
                report.lease(),
                attempts,
                epochMillis + retry.backoffMillis(attempts),
                report.error());
        if (attempts >= maxAttempts(retry)) {
            return end(item, ItemEvent.GIVE_UP, report);
        }
        ReportVerdict verdict = returnToWaiting(item);
        return verdict == ReportVerdict.RECORDED ? ReportVerdict.WAITS : verdict;
    }

    private int maxAttempts(RetryPolicy retry) {
        int jobMaxAttempts = mJob.spec().maxAttempts();
        return jobMaxAttempts > 0 ? jobMaxAttempts : retry.attempts();
    }

    private int attempts(int item) {
        return mItems.attempts(item);
    }

    private void addFailure(LeaseRef lease, int attempts, long notBefore, String error) {
        String storedError = error.substring(0, Math.min(error.length(), MAX_ERROR_CHARS));
        mItems.setFailure(
                lease.item(),
                new ItemTable.FailureRecord(attempts, notBefore, storedError, lease.fence()));
    }

    private void endInDoubt(LeaseRef lease, String error, long epochMillis) {
        addFailure(lease, attempts(lease.item()), epochMillis, error);
        mItems.transition(lease.item(), ItemEvent.DOUBT);
    }

    private ReportVerdict returnToWaiting(int item) {
        mItems.clearRun(item);
        mItems.transition(item, ItemEvent.WAIT_AGAIN);
        if (mJob.state() == JobState.CANCELLED) {
            cancel(item);
            return ReportVerdict.CANCELLED;
        }
        return ReportVerdict.RECORDED;
    }

    /** Cancels an item that has not started. */
    void cancel(int item) {
        mItems.transition(item, ItemEvent.CANCEL);
        mItems.dropBody(item);
    }

    /** Returns an item in doubt to the waiting state, by an operator's decision. */
    boolean runAgain(int item) {
        mItems.clearRun(item);
        mItems.transition(item, ItemEvent.WAIT_AGAIN);
        return true;
    }

    /** Ends an item in doubt, by an operator's decision. */
    boolean settle(int item, ItemEvent event, int status, byte[] body) {
        mItems.clearRun(item);
        mItems.transition(item, event);
        mItems.setResult(item, status, body);
        return true;
    }
}
