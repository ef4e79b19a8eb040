package org.coltsfootproxy.job;

import java.util.ArrayList;
import java.util.List;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;

/**
 * The time of the present step and the effects that wait for its end.
 *
 * <p>A commit may be told outside the service's own steps; what it leads to is kept until the next
 * one.
 */
final class StepClock implements Effects {
    private final EpochClock mEpochClock;
    private final List<Effect> mEffects = new ArrayList<>();
    private long mNowNanos;
    private long mOffsetMillis;

    StepClock(EpochClock epochClock) {
        mEpochClock = epochClock;
    }

    void advance(long nowNanos) {
        mNowNanos = nowNanos;
    }

    long nowNanos() {
        return mNowNanos;
    }

    long epochMillis() {
        return mEpochClock.epochMillis(mNowNanos) + mOffsetMillis;
    }

    /** Has time go on from the given one. */
    void continueFrom(long epochMillis) {
        mOffsetMillis = epochMillis - mEpochClock.epochMillis(mNowNanos);
    }

    @Override
    public void add(Effect effect) {
        mEffects.add(effect);
    }

    boolean hasEffects() {
        return !mEffects.isEmpty();
    }

    void flush(Effects out) {
        mEffects.forEach(out::add);
        mEffects.clear();
    }
}
