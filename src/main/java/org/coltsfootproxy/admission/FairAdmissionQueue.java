package org.coltsfootproxy.admission;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.coltsfootproxy.base.ErrorKind;

/**
 * An admission queue that is fair between organisations, prefers online to batch and stops running
 * batch items whose slots waiting online work needs.
 */
final class FairAdmissionQueue implements AdmissionQueue {
    private static final double SERVICE_TIME_SMOOTHING = 0.05;
    private static final double INITIAL_SERVICE_NANOS = 1e9;
    private static final long MILLI_NANOS = 1_000_000;
    private static final long MIN_RETRY_MILLIS = 100;
    private static final long MAX_RETRY_MILLIS = 30_000;
    private static final int CLEANUP_INTERVAL_STARTS = 256;

    private final WeightedFairQueue mOnline = new WeightedFairQueue();
    private final WeightedFairQueue mBatch = new WeightedFairQueue();
    private final Map<Long, RunningWork> mRunning = new HashMap<>();
    private final ConcurrencyLimit mLimit;
    private AdmissionSettings mSettings;
    private int mRunningBatch;
    private double mMeanServiceNanos = INITIAL_SERVICE_NANOS;
    private long mBatchPausedUntil = Long.MIN_VALUE;
    private int mStarts;

    private FairAdmissionQueue(AdmissionSettings settings, ConcurrencyLimit limit) {
        mSettings = checkNotNull(settings, "settings");
        mLimit = checkNotNull(limit, "limit");
    }

    /** Returns an empty queue for a target with the given concurrency limit. */
    static FairAdmissionQueue create(AdmissionSettings settings, ConcurrencyLimit limit) {
        return new FairAdmissionQueue(settings, limit);
    }

    @Override
    public List<Shed> offer(Work work, long nowNanos) {
        long call = work.call();
        checkArgument(!isWaitingOrRunning(call), "call %s is waiting or running already", call);
        if (work.deadlineNanos() <= nowNanos) {
            return List.of(new Shed(work, ErrorKind.DEADLINE_EXCEEDED, 0));
        }
        WeightedFairQueue queue = queueOf(work);
        queue.add(work);
        long retry = retryAfterMillis(queue.size());
        return queue.shed(mSettings.maxWaiting(), mSettings.maxWaitingBytes()).stream()
                .map(shed -> new Shed(shed, ErrorKind.OVERLOADED, retry))
                .collect(Collectors.toList());
    }

    private boolean isWaitingOrRunning(long call) {
        return mRunning.containsKey(call) || mOnline.contains(call) || mBatch.contains(call);
    }

    private WeightedFairQueue queueOf(Work work) {
        return work.isOnline() ? mOnline : mBatch;
    }

    private long retryAfterMillis(int waiting) {
        double nanos = mMeanServiceNanos * waiting / mLimit.limit();
        long millis = (long) (nanos / MILLI_NANOS);
        return Math.max(MIN_RETRY_MILLIS, Math.min(MAX_RETRY_MILLIS, millis));
    }

    @Override
    public Optional<Work> poll(long nowNanos) {
        Optional<Work> next = pollClass();
        next.ifPresent(work -> start(work, nowNanos));
        return next;
    }

    private Optional<Work> pollClass() {
        if (mOnline.size() > 0) {
            return mRunning.size() < mLimit.limit()
                    ? mOnline.poll(mMeanServiceNanos)
                    : Optional.empty();
        }
        return mRunning.size() < batchLimit() ? mBatch.poll(mMeanServiceNanos) : Optional.empty();
    }

    /** Returns the number of requests in flight below which a batch item may start. */
    private int batchLimit() {
        int limit = mLimit.limit();
        int headroom = (int) Math.ceil(limit * mSettings.headroomShare());
        return Math.max(1, limit - headroom);
    }

    private void start(Work work, long now) {
        mRunning.put(work.call(), new RunningWork(work, now, mMeanServiceNanos));
        mRunningBatch += work.isOnline() ? 0 : 1;
        if (++mStarts % CLEANUP_INTERVAL_STARTS == 0) {
            mOnline.removeIdle();
            mBatch.removeIdle();
        }
    }

    @Override
    public List<Long> itemsToStop(long nowNanos) {
        int stopping = (int) mRunning.values().stream().filter(RunningWork::isStopping).count();
        int needed = mOnline.size() + mRunning.size() - stopping - mLimit.limit();
        if (needed <= 0 || mRunningBatch == 0 || !hasOnline()) {
            return List.of();
        }
        List<RunningWork> chosen = batchByLatestStart().limit(needed).collect(Collectors.toList());
        chosen.forEach(RunningWork::stop);
        if (!chosen.isEmpty()) {
            mBatchPausedUntil = nowNanos + mSettings.batchPauseNanos();
        }
        return chosen.stream().map(run -> run.work().call()).collect(Collectors.toList());
    }

    private boolean hasOnline() {
        return mOnline.size() > 0 || mRunning.size() > mRunningBatch;
    }

    /** Returns running batch items, latest start first, as these lose the least work. */
    private Stream<RunningWork> batchByLatestStart() {
        return mRunning.values().stream()
                .filter(run -> run.isBatch() && !run.isStopping())
                .sorted(
                        Comparator.comparingLong(RunningWork::startedAt)
                                .thenComparingLong(run -> run.work().call())
                                .reversed());
    }

    @Override
    public int batchSlots(long nowNanos) {
        if (mOnline.size() > 0 || nowNanos < mBatchPausedUntil) {
            return 0;
        }
        return Math.max(0, batchLimit() - mRunning.size() - mBatch.size());
    }

    @Override
    public void recordChunk(long call, long nowNanos) {
        RunningWork running = mRunning.get(call);
        if (running != null) {
            running.recordChunk(mLimit, mRunning.size(), nowNanos);
        }
    }

    @Override
    public void finished(long call, long nowNanos) {
        RunningWork running = mRunning.remove(call);
        if (running == null) {
            return;
        }
        mRunningBatch -= running.isBatch() ? 1 : 0;
        double actual = nowNanos - running.startedAt();
        queueOf(running.work())
                .charge(running.work().organisation(), actual - running.chargedNanos());
        if (!running.isStopping()) {
            mMeanServiceNanos += SERVICE_TIME_SMOOTHING * (actual - mMeanServiceNanos);
        }
    }

    @Override
    public boolean cancel(long call) {
        return mOnline.cancel(call).or(() -> mBatch.cancel(call)).isPresent();
    }

    @Override
    public List<Shed> expire(long nowNanos) {
        return Stream.concat(mOnline.expire(nowNanos).stream(), mBatch.expire(nowNanos).stream())
                .map(work -> new Shed(work, ErrorKind.DEADLINE_EXCEEDED, 0))
                .collect(Collectors.toList());
    }

    @Override
    public List<Shed> drain() {
        return Stream.concat(mOnline.clear().stream(), mBatch.clear().stream())
                .map(work -> new Shed(work, ErrorKind.STOPPING, 0))
                .collect(Collectors.toList());
    }

    @Override
    public void configure(AdmissionSettings settings, long nowNanos) {
        mSettings = checkNotNull(settings, "settings");
        mLimit.configure(settings);
    }

    @Override
    public long nextExpiryNanos() {
        return Math.min(mOnline.nextDeadline(), mBatch.nextDeadline());
    }

    @Override
    public int waiting() {
        return mOnline.size() + mBatch.size();
    }

    @Override
    public int inFlight() {
        return mRunning.size();
    }

    @Override
    public int limit() {
        return mLimit.limit();
    }
}
