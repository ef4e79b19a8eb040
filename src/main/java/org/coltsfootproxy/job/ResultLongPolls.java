package org.coltsfootproxy.job;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.message.ItemResult;
import org.coltsfootproxy.message.JobMessage;
import org.coltsfootproxy.message.JobState;

/**
 * Long polls for a job's results in the order in which its items end.
 *
 * <p>The result at a position never changes. A poll may wait for the next result. Waiting needs no
 * commit, and a leader that steps down redirects the waiting polls.
 */
final class ResultLongPolls {
    /**
     * Bytes of results after which a page ends. The limit keeps pages below 1 MB after quoting in
     * JSON.
     */
    private static final long PAGE_BYTES = 256 << 10;

    private static final int MAX_WAITING_POLLS = 10_000;

    private final JobLedger mLedger;
    private final StepContext mStep;
    private final Map<Long, Waiting> mWaiting = new LinkedHashMap<>();
    private long mLastNumber;

    private record Waiting(HostId from, JobMessage.AskEnded ask, long endNanos) {}

    ResultLongPolls(JobLedger ledger, StepContext step) {
        mLedger = ledger;
        mStep = step;
    }

    /**
     * Answers at once if there is a result, no further one can come or too many polls wait already;
     * otherwise later.
     */
    void read(HostId from, JobMessage.AskEnded ask, LedgerJob job) {
        boolean mayWait = ask.waitMillis() > 0 && mWaiting.size() < MAX_WAITING_POLLS;
        if (!mayWait || isAnswerable(ask, job)) {
            answer(from, ask, job);
            return;
        }
        long end = mStep.nowNanos() + ask.waitMillis() * EpochClock.NANOS_PER_MILLI;
        mWaiting.put(++mLastNumber, new Waiting(from, ask, end));
    }

    private static boolean isAnswerable(JobMessage.AskEnded ask, LedgerJob job) {
        return job.items().resultCount() > ask.from()
                || job.state() == JobState.FINISHED
                || job.isSettled();
    }

    /** Answers the polls that have results or whose wait is over. */
    void serveWaiting() {
        Iterator<Waiting> all = mWaiting.values().iterator();
        while (all.hasNext()) {
            Waiting waiting = all.next();
            JobMessage.AskEnded ask = waiting.ask();
            LedgerJob job = mLedger.job(ask.organisation(), ask.job()).orElse(null);
            boolean isTimedOut = mStep.nowNanos() - waiting.endNanos() >= 0;
            if (job == null || isTimedOut || isAnswerable(ask, job)) {
                all.remove();
                answerOrRefuse(waiting, job);
            }
        }
    }

    private void answerOrRefuse(Waiting waiting, LedgerJob job) {
        if (job == null) {
            mStep.send(waiting.from(), AskHandler.unknownJob(waiting.ask(), waiting.ask().job()));
        } else {
            answer(waiting.from(), waiting.ask(), job);
        }
    }

    /** Redirects all waiting polls to another control host; {@code leader} may be null. */
    void stepDown(HostId leader) {
        mWaiting.values()
                .forEach(w -> mStep.send(w.from(), AskHandler.notLeading(w.ask(), leader)));
        mWaiting.clear();
    }

    private void answer(HostId from, JobMessage.AskEnded ask, LedgerJob job) {
        ItemTable items = job.items();
        List<ItemResult> page = new ArrayList<>();
        int first = Math.max(0, ask.from());
        long bytes = 0;
        for (int next = first; next < items.resultCount() && bytes < PAGE_BYTES; next++) {
            int index = items.resultAt(next);
            page.add(items.result(index));
            bytes += items.payload(index).length;
        }
        int total = job.spec().items();
        mStep.send(from, new JobMessage.Ended(ask.group(), ask.call(), total, first, page));
    }
}
