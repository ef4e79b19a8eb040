package org.coltsfootproxy.fake;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Settings of a {@link FakeTarget}.
 *
 * @param address where to listen; port 0 lets the system choose
 * @param mode what the target plays
 * @param seed seed of its random choices
 * @param timing how fast it is
 * @param fenced whether it refuses orders with an old fencing number
 */
public record FakeTargetSettings(
        InetSocketAddress address, Mode mode, long seed, Timing timing, boolean fenced) {
    /** What a target plays. */
    public enum Mode {
        /** A model engine that batches continuously. */
        ENGINE,
        /** A service that keeps records and grants names and swaps. */
        PLAIN
    }

    /**
     * How fast a target is.
     *
     * @param firstToken time to the first token of an uncached prompt of {@link
     *     EngineModel#PROMPT_UNIT} characters, or to the answer of a plain service
     * @param token time for a token of a request that is alone
     * @param tokenPerRequest time that each further request in flight adds to each token
     * @param cacheBlocks blocks of prompts that are cached
     * @param eventLag time until a cache event is published
     * @param loadLag age of the load that is reported
     */
    public record Timing(
            Duration firstToken,
            Duration token,
            Duration tokenPerRequest,
            int cacheBlocks,
            Duration eventLag,
            Duration loadLag) {
        /** Returns the timing of a small model on one accelerator. */
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

    /** Checks the components. */
    public FakeTargetSettings {
        checkNotNull(address, "address");
        checkNotNull(mode, "mode");
        checkArgument(timing.cacheBlocks() > 0, "cacheBlocks %s", timing.cacheBlocks());
    }

    /** Returns the settings of a target with default timing that ignores fencing numbers. */
    public static FakeTargetSettings of(InetSocketAddress address, Mode mode) {
        return new FakeTargetSettings(address, mode, 1, Timing.defaults(), false);
    }

    /** Returns these settings with another timing. */
    public FakeTargetSettings withTiming(Timing other) {
        return new FakeTargetSettings(address, mode, seed, other, fenced);
    }

    /** Returns these settings for a target that refuses orders with an old fencing number. */
    public FakeTargetSettings withFencing() {
        return new FakeTargetSettings(address, mode, seed, timing, true);
    }
}
