package org.coltsfootproxy.fake;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Settings of a {@link FakeTarget}.
 *
 * @param address the address on which to listen; port 0 selects a free port
 * @param mode what the target simulates
 * @param seed seed of its random choices
 * @param timing simulated processing times
 * @param fenced whether it refuses orders whose fencing number is lower than one already seen
 */
public record FakeTargetSettings(
        InetSocketAddress address, Mode mode, long seed, Timing timing, boolean fenced) {
    /** What a target simulates. */
    public enum Mode {
        /** A model engine with continuous batching. */
        ENGINE,
        /** A plain HTTP service that answers each request with one JSON document. */
        PLAIN
    }

    /**
     * The simulated processing times and delays of a target.
     *
     * @param firstToken time to the first token of an uncached prompt of {@link
     *     EngineModel#PROMPT_UNIT_CHARS} characters; a plain service answers in an eighth of it
     * @param token time per token of a request that is alone in the batch
     * @param tokenPerRequest time that each further request in the batch adds per token
     * @param cacheBlocks capacity of the prefix cache, in blocks
     * @param eventLag delay until a cache event is published
     * @param loadLag age of the reported load
     */
    public record Timing(
            Duration firstToken,
            Duration token,
            Duration tokenPerRequest,
            int cacheBlocks,
            Duration eventLag,
            Duration loadLag) {
        /** Returns timing typical of a small model on one accelerator. */
        public static Timing defaults() {
            return new Timing(
                    Duration.ofMillis(40),
                    Duration.ofMillis(6),
                    Duration.ofNanos(300_000),
                    4096,
                    Duration.ofMillis(500),
                    Duration.ofMillis(500));
        }
    }

    /** Validates the components. */
    public FakeTargetSettings {
        checkNotNull(address, "address");
        checkNotNull(mode, "mode");
        checkArgument(
                timing.cacheBlocks() > 0, "cacheBlocks must be positive: %s", timing.cacheBlocks());
    }

    /** Returns the settings of a target with default timing that ignores fencing numbers. */
    public static FakeTargetSettings of(InetSocketAddress address, Mode mode) {
        return new FakeTargetSettings(address, mode, 1, Timing.defaults(), false);
    }

    /** Returns a copy with another timing. */
    public FakeTargetSettings withTiming(Timing other) {
        return new FakeTargetSettings(address, mode, seed, other, fenced);
    }

    /** Returns a copy for a target that refuses orders with an outdated fencing number. */
    public FakeTargetSettings withFencing() {
        return new FakeTargetSettings(address, mode, seed, timing, true);
    }
}
