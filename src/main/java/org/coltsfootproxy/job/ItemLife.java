package org.coltsfootproxy.job;

import org.coltsfootproxy.message.ItemProgress;
import org.coltsfootproxy.message.ItemReport;
import org.coltsfootproxy.message.ItemState;
import org.coltsfootproxy.message.JobState;
import org.coltsfootproxy.message.LeaseRef;
import org.coltsfootproxy.message.ReportVerdict;

/**
 * The steps of an item's life, decided from the item's state alone.
 *
 * <p>An item that may not be repeated runs only under the one fencing number that a durable start
 * recorded, and leaves that run only by a report that carries this number or by an operator.
 */
final class ItemLife {
    private static final int MAX_ERROR_CHARS = 300;

    private final LedgerJob mJob;
    private final ItemTable mItems;

    private ItemLife(LedgerJob job) {
        mJob = job;
        mItems = job.items();
    }

    static ItemLife of(LedgerJob job) {
        return new ItemLife(job);
    }

    /** Records that the agent may call the target; tells whether it may. */
    boolean start(LeaseRef lease, String agent, long epochMillis) {
        if (!isKnown(lease) || mJob.spec().repeatable()) {
            return false;
        }
        int item = lease.item();
        if (mItems.state(item) == ItemState.STARTED) {
            return mItems.run(item).fence() == lease.fence();
        }
        if (mItems.state(item) != ItemState.WAITING || isPausing(item, epochMillis)) {
            return false;
        }
        mItems.step(item, ItemEvent.START);
        mItems.setRun(item, new ItemTable.Run(lease.fence(), agent));
        return true;
    }

    private boolean isPausing(int item, long epochMillis) {
        ItemTable.Trouble trouble = mItems.trouble(item);
        return trouble != null && trouble.notBeforeEpochMillis() > epochMillis;
    }

    private boolean isKnown(LeaseRef lease) {
        return lease.item() >= 0 && lease.item() < mItems.size();
    }

    /** Records that the worker of a started item is lost; tells whether anything changed. */
    boolean lose(LeaseRef lease, long epochMillis) {
        if (!isKnown(lease) || !isRunOf(lease, ItemState.STARTED)) {
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
     * Keeps a piece of the output that directly follows what is kept; tells whether it did.
     *
     * <p>A piece of a run that began before the last one was kept has another offset and is
     * ignored.
     */
    boolean progress(ItemProgress progress) {
        LeaseRef lease = progress.lease();
        boolean isWanted =
                isKnown(lease)
                        && mJob.spec().repeatable()
                        && mItems.state(lease.item()) == ItemState.WAITING
                        && mItems.made(lease.item()).bytes().length == progress.offset();
        if (isWanted) {
            mItems.addMade(lease.item(), progress.piece());
        }
        return isWanted;
    }

    /** Records an agent's report. */
    ReportVerdict report(ItemReport report, RetryPolicy retry, long epochMillis) {
        if (!isKnown(report.lease())) {
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
                addTrouble(report.lease(), attempts(item) + 1, epochMillis, report.error());
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
            case GIVEN_BACK -> waitAgain(item);
        };
    }

    private ReportVerdict end(int item, ItemEvent event, ItemReport report) {
        mItems.step(item, event);
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
        addTrouble(
                report.lease(),
                attempts,
                epochMillis + retry.pauseMillis(attempts),
                report.error());
        if (attempts >= maxAttempts(retry)) {
            return end(item, ItemEvent.GIVE_UP, report);
        }
        ReportVerdict verdict = waitAgain(item);
        return verdict == ReportVerdict.RECORDED ? ReportVerdict.WAITS : verdict;
    }

    private int maxAttempts(RetryPolicy retry) {
        int own = mJob.spec().maxAttempts();
        return own > 0 ? own : retry.attempts();
    }

    private int attempts(int item) {
        return mItems.attempts(item);
    }

    private void addTrouble(LeaseRef lease, int attempts, long notBefore, String error) {
        String kept = error.substring(0, Math.min(error.length(), MAX_ERROR_CHARS));
        mItems.setTrouble(
                lease.item(), new ItemTable.Trouble(attempts, notBefore, kept, lease.fence()));
    }

    private void endInDoubt(LeaseRef lease, String error, long epochMillis) {
        addTrouble(lease, attempts(lease.item()), epochMillis, error);
        mItems.step(lease.item(), ItemEvent.DOUBT);
    }

    private ReportVerdict waitAgain(int item) {
        mItems.clearRun(item);
        mItems.step(item, ItemEvent.WAIT_AGAIN);
        if (mJob.state() == JobState.CANCELLED) {
            cancel(item);
            return ReportVerdict.CANCELLED;
        }
        return ReportVerdict.RECORDED;
    }

    /** Keeps an item that has not started from running. */
    void cancel(int item) {
        mItems.step(item, ItemEvent.CANCEL);
        mItems.dropBody(item);
    }

    /** Runs an item in doubt again, as an operator decided. */
    boolean runAgain(int item) {
        mItems.clearRun(item);
        mItems.step(item, ItemEvent.WAIT_AGAIN);
        return true;
    }

    /** Ends an item in doubt, as an operator decided. */
    boolean settle(int item, ItemEvent event, int status, byte[] body) {
        mItems.clearRun(item);
        mItems.step(item, event);
        mItems.setResult(item, status, body);
        return true;
    }
}
