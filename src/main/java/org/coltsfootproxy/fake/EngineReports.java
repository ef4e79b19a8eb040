package org.coltsfootproxy.fake;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;

/** What an engine tells about itself: cache events late and with gaps, load with a lag. */
final class EngineReports {
    private static final int MAX_EVENTS = 10_000;
    private static final double GAP_SHARE = 0.05;

    private final long mEventLagNanos;
    private final long mLoadLagNanos;
    private final SplittableRandom mRandom;
    private final Deque<Timed<CacheEvent>> mEvents = new ArrayDeque<>();
    private final Deque<Timed<Load>> mLoads = new ArrayDeque<>();
    private long mSequence;

    private record Timed<T>(long nanos, T value) {}

    /**
     * A change of the prefix cache.
     *
     * @param sequence number of the event; gaps are events that were lost
     * @param type {@code stored} or {@code evicted}
     * @param block number of the block
     */
    record CacheEvent(long sequence, String type, long block) {}

    /** Load of the engine. */
    record Load(int inFlight, long tokenMicros) {}

    EngineReports(FakeTargetSettings settings) {
        mEventLagNanos = settings.timing().eventLag().toNanos();
        mLoadLagNanos = settings.timing().loadLag().toNanos();
        mRandom = new SplittableRandom(settings.seed());
        mLoads.add(new Timed<>(Long.MIN_VALUE, new Load(0, 0)));
    }

    /** Notes what a prompt did to the cache. */
    void cached(EngineModel.Lookup lookup, long nowNanos) {
        lookup.stored().forEach(b -> event("stored", b, nowNanos));
        lookup.evicted().forEach(b -> event("evicted", b, nowNanos));
    }

    private void event(String type, long block, long nowNanos) {
        mSequence++;
        if (mRandom.nextDouble() >= GAP_SHARE) {
            mEvents.add(new Timed<>(nowNanos, new CacheEvent(mSequence, type, block)));
        }
        if (mEvents.size() > MAX_EVENTS) {
            mEvents.removeFirst();
        }
    }

    /** Notes the load. */
    void load(EngineModel engine, long nowNanos) {
        mLoads.add(new Timed<>(nowNanos, new Load(engine.inFlight(), engine.tokenNanos() / 1000)));
        while (mLoads.size() > 1 && second().nanos() <= nowNanos - mLoadLagNanos) {
            mLoads.removeFirst();
        }
    }

    private Timed<Load> second() {
        var loads = mLoads.iterator();
        loads.next();
        return loads.next();
    }

    /** Returns the events after a sequence number that are published by now. */
    List<CacheEvent> events(long after, long nowNanos) {
        List<CacheEvent> published = new ArrayList<>();
        mEvents.stream()
                .filter(e -> e.value().sequence() > after && e.nanos() <= nowNanos - mEventLagNanos)
                .forEach(e -> published.add(e.value()));
        return published;
    }

    /** Returns the load as it was a while ago. */
    Load load(long nowNanos) {
        Load load = mLoads.getFirst().value();
        for (Timed<Load> sample : mLoads) {
            if (sample.nanos() <= nowNanos - mLoadLagNanos) {
                load = sample.value();
            }
        }
        return load;
    }
}
