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
 * Answers readers that follow a job's results in the order in which items end.
 *
 * <p>A position never changes what it holds. A reader may wait for the next result; waiting costs
 * no commit, and a leader that steps down sends its readers elsewhere.
 */
final class EndedReads {
    /** Bytes of results after which a page ends; what is quoted in JSON stays below 1 MB. */
    private static final long PAGE_BYTES = 256 << 10;

    private static final int MAX_WAITING = 10_000;

    private final JobLedger mLedger;
    private final StepClock mStep;
    private final Map<Long, Waiting> mWaiting = new LinkedHashMap<>();
    private long mLastNumber;

    private record Waiting(HostId from, JobMessage.AskEnded ask, long endNanos) {}

    EndedReads(JobLedger ledger, StepClock step) {
        mLedger = ledger;
        mStep = step;
    }

    /** Answers at once if there is a result or none can come, and otherwise later. */
    void read(HostId from, JobMessage.AskEnded ask, LedgerJob job) {
        boolean mayWait = ask.waitMillis() > 0 && mWaiting.size() < MAX_WAITING;
        if (!mayWait || isAnswerable(ask, job)) {
            answer(from, ask, job);
            return;
        }
        long end = mStep.nowNanos() + ask.waitMillis() * EpochClock.NANOS_PER_MILLI;
        mWaiting.put(++mLastNumber, new Waiting(from, ask, end));
    }

    private static boolean isAnswerable(JobMessage.AskEnded ask, LedgerJob job) {
        return job.items().ended() > ask.from()
                || job.state() == JobState.FINISHED
                || job.isSettled();
    }

    /** Answers the readers whose wait is over. */
    void serve() {
        Iterator<Waiting> all = mWaiting.values().iterator();
        while (all.hasNext()) {
            Waiting waiting = all.next();
            JobMessage.AskEnded ask = waiting.ask();
            LedgerJob job = mLedger.job(ask.organisation(), ask.job()).orElse(null);
            boolean isOver = mStep.nowNanos() - waiting.endNanos() >= 0;
            if (job == null || isOver || isAnswerable(ask, job)) {
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

    /** Sends all waiting readers to another control host. */
    void stepDown(HostId leader) {
        mWaiting.values().forEach(w -> mStep.send(w.from(), AskHandler.elsewhere(w.ask(), leader)));
        mWaiting.clear();
    }

    private void answer(HostId from, JobMessage.AskEnded ask, LedgerJob job) {
        ItemTable items = job.items();
        List<ItemResult> page = new ArrayList<>();
        int first = Math.max(0, ask.from());
        long bytes = 0;
        for (int next = first; next < items.ended() && bytes < PAGE_BYTES; next++) {
            int index = items.endedAt(next);
            page.add(items.result(index));
            bytes += items.payload(index).length;
        }
        int total = job.spec().items();
        mStep.send(from, new JobMessage.Ended(ask.group(), ask.call(), total, first, page));
    }
}
