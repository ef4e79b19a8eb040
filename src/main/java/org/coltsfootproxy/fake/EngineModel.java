package org.coltsfootproxy.fake;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Models the timing of a model engine: a prefix cache of limited size and a time per token that
 * grows with the number of requests in the batch.
 */
final class EngineModel {
    /** Length of an uncached prompt whose first token takes {@code Timing.firstToken}. */
    static final int PROMPT_UNIT_CHARS = 256;

    private static final int BLOCK_CHARS = 64;

    private final FakeTargetSettings.Timing mTiming;
    private final Map<Long, Boolean> mBlocks = new LinkedHashMap<>(16, 0.75f, true);
    private int mInFlight;

    private EngineModel(FakeTargetSettings.Timing timing) {
        mTiming = timing;
    }

    /**
     * The result of a cache lookup.
     *
     * @param cachedBlocks number of leading blocks of the prompt that were cached
     * @param blocks number of blocks of the prompt
     * @param stored hashes of the blocks that the lookup added to the cache
     * @param evicted hashes of the blocks that it evicted
     */
    record Lookup(int cachedBlocks, int blocks, List<Long> stored, List<Long> evicted) {}

    /** Returns an engine with an empty cache. */
    static EngineModel of(FakeTargetSettings.Timing timing) {
        return new EngineModel(timing);
    }

    /** Returns the number of requests in the batch. */
    int inFlight() {
        return mInFlight;
    }

    /** Adds a request to the batch. */
    void joinBatch() {
        mInFlight++;
    }

    /** Removes a request from the batch. */
    void leaveBatch() {
        mInFlight--;
    }

    /**
     * Looks up the longest cached prefix of a prompt and caches the prompt, evicting the least
     * recently used blocks.
     */
    Lookup lookUpAndCache(String prompt) {
        List<Long> hashes = prefixHashes(prompt);
        int cached = 0;
        while (cached < hashes.size() && mBlocks.containsKey(hashes.get(cached))) {
            cached++;
        }
        List<Long> stored = hashes.subList(cached, hashes.size());
        hashes.forEach(b -> mBlocks.put(b, true));
        return new Lookup(cached, hashes.size(), List.copyOf(stored), evict());
    }

    private List<Long> evict() {
        List<Long> evicted = new ArrayList<>();
        Iterator<Long> oldest = mBlocks.keySet().iterator();
        for (int excess = mBlocks.size() - mTiming.cacheBlocks(); excess > 0; excess--) {
            evicted.add(oldest.next());
            oldest.remove();
        }
        return evicted;
    }

    /**
     * Returns one hash per complete block of the prompt. A hash covers the block and all blocks
     * before it, so that equal hashes denote equal prefixes.
     */
    private static List<Long> prefixHashes(String prompt) {
        List<Long> hashes = new ArrayList<>();
        long hash = 1;
        for (int i = 0; i < prompt.length(); i++) {
            hash = hash * 1_000_003 + prompt.charAt(i);
            if ((i + 1) % BLOCK_CHARS == 0) {
                hashes.add(hash);
            }
        }
        return hashes;
    }

    /**
     * Returns the time to the first token, in nanoseconds. The cached part of a prompt takes a
     * tenth of the time of an uncached one.
     */
    long firstTokenNanos(int promptChars, Lookup lookup) {
        double cached =
                Math.min(
                        1,
                        (double) lookup.cachedBlocks()
                                * BLOCK_CHARS
                                / atLeastOneBlock(promptChars));
        double units = (double) atLeastOneBlock(promptChars) / PROMPT_UNIT_CHARS;
        double work = units * (1 - 0.9 * cached);
        return (long) (mTiming.firstToken().toNanos() * work) + tokenNanos();
    }

    private static int atLeastOneBlock(int chars) {
        return Math.max(chars, BLOCK_CHARS);
    }

    /** Returns the time of one batch step, in nanoseconds; it yields one token per request. */
    long tokenNanos() {
        return mTiming.token().toNanos()
                + mTiming.tokenPerRequest().toNanos() * Math.max(0, mInFlight - 1);
    }
}
