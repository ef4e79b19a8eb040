package org.coltsfootproxy.fake;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;

/**
 * The reports of a simulated engine: its load and the changes of its prefix cache. Both are
 * delayed, and some cache events are lost.
 */
final class EngineReports {
    private static final int MAX_EVENTS = 10_000;
    private static final double LOST_EVENT_RATIO = 0.05;

    private final long mEventLagNanos;
    private final long mLoadLagNanos;
    private final SplittableRandom mRandom;
    private final Deque<Timestamped<CacheEvent>> mEvents = new ArrayDeque<>();
    private final Deque<Timestamped<Load>> mLoadSamples = new ArrayDeque<>();
    private long mSequence;

    private record Timestamped<T>(long nanos, T value) {}

    /**
     * A change of the prefix cache.
     *
     * @param sequence sequence number of the event; a gap marks lost events
     * @param type {@code stored} or {@code evicted}
     * @param block hash that identifies the block
     */
    record CacheEvent(long sequence, String type, long block) {}

    /** The load of an engine; {@code tokenMicros} is the time per token in microseconds. */
    record Load(int inFlight, long tokenMicros) {}

    EngineReports(FakeTargetSettings settings) {
        mEventLagNanos = settings.timing().eventLag().toNanos();
        mLoadLagNanos = settings.timing().loadLag().toNanos();
        mRandom = new SplittableRandom(settings.seed());
        mLoadSamples.add(new Timestamped<>(Long.MIN_VALUE, new Load(0, 0)));
    }

    /** Records the cache changes of a lookup. */
    void recordCacheChanges(EngineModel.Lookup lookup, long nowNanos) {
        lookup.stored().forEach(b -> addEvent("stored", b, nowNanos));
        lookup.evicted().forEach(b -> addEvent("evicted", b, nowNanos));
    }

    private void addEvent(String type, long block, long nowNanos) {
        mSequence++;
        if (mRandom.nextDouble() >= LOST_EVENT_RATIO) {
            mEvents.add(new Timestamped<>(nowNanos, new CacheEvent(mSequence, type, block)));
        }
        if (mEvents.size() > MAX_EVENTS) {
            mEvents.removeFirst();
        }
    }

    /** Records the current load of the engine. */
    void recordLoad(EngineModel engine, long nowNanos) {
        mLoadSamples.add(
                new Timestamped<>(
                        nowNanos, new Load(engine.inFlight(), engine.tokenNanos() / 1000)));
        while (mLoadSamples.size() > 1 && secondSample().nanos() <= nowNanos - mLoadLagNanos) {
            mLoadSamples.removeFirst();
        }
    }

    private Timestamped<Load> secondSample() {
        var loads = mLoadSamples.iterator();
        loads.next();
        return loads.next();
    }

    /** Returns the events after a sequence number that have been published by {@code nowNanos}. */
    List<CacheEvent> events(long after, long nowNanos) {
        List<CacheEvent> published = new ArrayList<>();
        mEvents.stream()
                .filter(e -> e.value().sequence() > after && e.nanos() <= nowNanos - mEventLagNanos)
                .forEach(e -> published.add(e.value()));
        return published;
    }

    /** Returns the last load recorded at least the load lag ago. */
    Load load(long nowNanos) {
        Load load = mLoadSamples.getFirst().value();
        for (Timestamped<Load> sample : mLoadSamples) {
            if (sample.nanos() <= nowNanos - mLoadLagNanos) {
                load = sample.value();
            }
        }
        return load;
    }
}
