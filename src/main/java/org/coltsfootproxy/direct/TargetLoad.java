package org.coltsfootproxy.direct;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.OptionalDouble;

/**
 * A target's report of its load: running requests, queued requests and slots.
 *
 * @param speed how long work takes at the target now, as a multiple of the usual time, so that 2
 *     means twice as long; from {@link #MIN_SPEED} to {@link #MAX_SPEED}; empty if the target does
 *     not tell it
 */
public record TargetLoad(int running, int waiting, int slots, OptionalDouble speed) {
    /** Smallest speed figure that is credible. */
    public static final double MIN_SPEED = 0.1;

    /** Largest speed figure that is credible; a target that is slower than that hardly serves. */
    public static final double MAX_SPEED = 100;

    /** Checks the ranges. */
    public TargetLoad {
        checkArgument(running >= 0, "running %s is below 0", running);
        checkArgument(waiting >= 0, "waiting %s is below 0", waiting);
        checkArgument(slots > 0, "slots %s is below 1", slots);
        checkNotNull(speed, "speed is missing");
        checkArgument(
                speed.isEmpty() || isCredible(speed.getAsDouble()),
                "speed %s is out of range",
                speed);
    }

    /** Returns whether a speed figure is within the range of credible ones. */
    public static boolean isCredible(double speed) {
        return speed >= MIN_SPEED && speed <= MAX_SPEED;
    }
}
