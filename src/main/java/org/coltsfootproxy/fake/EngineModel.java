package org.coltsfootproxy.fake;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The part of a model engine that takes time: a prefix cache of limited memory and token times that
 * grow with the batch.
 */
final class EngineModel {
    /** Characters of a prompt whose first token takes the stated time. */
    static final int PROMPT_UNIT = 256;

    private static final int BLOCK_CHARS = 64;

    private final FakeTargetSettings.Timing mTiming;
    private final Map<Long, Boolean> mBlocks = new LinkedHashMap<>(16, 0.75f, true);
    private int mInFlight;

    private EngineModel(FakeTargetSettings.Timing timing) {
        mTiming = timing;
    }

    /** What a prompt did to the cache. */
    record Lookup(int cachedBlocks, int blocks, List<Long> stored, List<Long> evicted) {}

    /** Returns an engine with nothing cached. */
    static EngineModel of(FakeTargetSettings.Timing timing) {
        return new EngineModel(timing);
    }

    /** Returns the requests in flight. */
    int inFlight() {
        return mInFlight;
    }

    /** Lets a request into the batch. */
    void enter() {
        mInFlight++;
    }

    /** Takes a request out of the batch. */
    void leave() {
        mInFlight--;
    }

    /** Looks up the longest cached prefix of a prompt and caches the prompt. */
    Lookup cache(String prompt) {
        List<Long> chain = chain(prompt);
        int cached = 0;
        while (cached < chain.size() && mBlocks.containsKey(chain.get(cached))) {
            cached++;
        }
        List<Long> stored = chain.subList(cached, chain.size());
        chain.forEach(b -> mBlocks.put(b, true));
        return new Lookup(cached, chain.size(), List.copyOf(stored), evict());
    }

    private List<Long> evict() {
        List<Long> evicted = new ArrayList<>();
        Iterator<Long> oldest = mBlocks.keySet().iterator();
        for (int over = mBlocks.size() - mTiming.cacheBlocks(); over > 0; over--) {
            evicted.add(oldest.next());
            oldest.remove();
        }
        return evicted;
    }

    /**
     * Each block's number covers all blocks before it, so that equal numbers are equal prefixes.
     */
    private static List<Long> chain(String prompt) {
        List<Long> chain = new ArrayList<>();
        long hash = 1;
        for (int i = 0; i < prompt.length(); i++) {
            hash = hash * 1_000_003 + prompt.charAt(i);
            if ((i + 1) % BLOCK_CHARS == 0) {
                chain.add(hash);
            }
        }
        return chain;
    }

    /** Returns the time to the first token, in nanoseconds; what is cached costs a tenth. */
    long firstTokenNanos(int promptChars, Lookup lookup) {
        double cached =
                Math.min(
                        1, (double) lookup.cachedBlocks() * BLOCK_CHARS / promptChars(promptChars));
        double units = (double) promptChars(promptChars) / PROMPT_UNIT;
        double work = units * (1 - 0.9 * cached);
        return (long) (mTiming.firstToken().toNanos() * work) + tokenNanos();
    }

    private static int promptChars(int chars) {
        return Math.max(chars, BLOCK_CHARS);
    }

    /** Returns the time for a token of each request in the batch, in nanoseconds. */
    long tokenNanos() {
        return mTiming.token().toNanos()
                + mTiming.tokenPerRequest().toNanos() * Math.max(0, mInFlight - 1);
    }
}
