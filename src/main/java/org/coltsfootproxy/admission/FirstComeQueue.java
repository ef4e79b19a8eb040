package org.coltsfootproxy.admission;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.coltsfootproxy.base.ErrorKind;

/**
 * A first-come, first-served queue over all classes and organisations, the baseline for
 * measurements. It sheds the arriving request when full and never stops running work.
 */
final class FirstComeQueue implements AdmissionQueue {
    private static final long RETRY_AFTER_MILLIS = 1_000;

    private final Map<Long, Work> mWaiting = new LinkedHashMap<>();
    private final Set<Long> mRunning = new HashSet<>();
    private AdmissionSettings mSettings;
    private long mBytes;

    private FirstComeQueue(AdmissionSettings settings) {
        mSettings = settings;
    }

    /** Returns an empty queue. */
    static FirstComeQueue create(AdmissionSettings settings) {
        return new FirstComeQueue(settings);
    }

    @Override
    public List<Shed> offer(Work work, long nowNanos) {
        long call = work.call();
        checkArgument(
                !mWaiting.containsKey(call) && !mRunning.contains(call),
                "call %s is waiting or running already",
                call);
        if (work.deadlineNanos() <= nowNanos) {
            return List.of(new Shed(work, ErrorKind.DEADLINE_EXCEEDED, 0));
        }
        if (mWaiting.size() >= mSettings.maxWaiting()
                || mBytes + work.bytes() > mSettings.maxWaitingBytes()) {
            return List.of(new Shed(work, ErrorKind.OVERLOADED, RETRY_AFTER_MILLIS));
        }
        mWaiting.put(call, work);
        mBytes += work.bytes();
        return List.of();
    }

    @Override
    public Optional<Work> poll(long nowNanos) {
        if (mRunning.size() >= mSettings.maxInFlight() || mWaiting.isEmpty()) {
            return Optional.empty();
        }
        Work next = mWaiting.values().iterator().next();
        remove(next);
        mRunning.add(next.call());
        return Optional.of(next);
    }

    private void remove(Work work) {
        mWaiting.remove(work.call());
        mBytes -= work.bytes();
    }

    @Override
    public List<Long> itemsToStop(long nowNanos) {
        return List.of();
    }

    @Override
    public int batchSlots(long nowNanos) {
        return Math.max(0, mSettings.maxInFlight() - mRunning.size() - mWaiting.size());
    }

    @Override
    public void recordChunk(long call, long nowNanos) {
        // The limit is fixed, so latency is ignored.
    }

    @Override
    public void finished(long call, long nowNanos) {
        mRunning.remove(call);
    }

    @Override
    public boolean cancel(long call) {
        Optional<Work> work = Optional.ofNullable(mWaiting.get(call));
        work.ifPresent(this::remove);
        return work.isPresent();
    }

    @Override
    public List<Shed> expire(long nowNanos) {
        return removeAll(nowNanos, ErrorKind.DEADLINE_EXCEEDED);
    }

    @Override
    public List<Shed> drain() {
        return removeAll(Long.MAX_VALUE, ErrorKind.STOPPING);
    }

    private List<Shed> removeAll(long maxDeadlineNanos, ErrorKind kind) {
        List<Work> removed =
                mWaiting.values().stream()
                        .filter(work -> work.deadlineNanos() <= maxDeadlineNanos)
                        .collect(Collectors.toList());
        removed.forEach(this::remove);
        return removed.stream().map(work -> new Shed(work, kind, 0)).collect(Collectors.toList());
    }

    @Override
    public void configure(AdmissionSettings settings, long nowNanos) {
        mSettings = settings;
    }

    @Override
    public long nextExpiryNanos() {
        return mWaiting.values().stream()
                .mapToLong(Work::deadlineNanos)
                .min()
                .orElse(Long.MAX_VALUE);
    }

    @Override
    public int waiting() {
        return mWaiting.size();
    }

    @Override
    public int inFlight() {
        return mRunning.size();
    }

    @Override
    public int limit() {
        return mSettings.maxInFlight();
    }
}
