package org.coltsfootproxy.job;

import java.util.ArrayList;
import java.util.List;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;

/**
 * The current time and the effects of the current step of a {@link JobService}.
 *
 * <p>A commit may be reported between two steps; its effects are kept until the end of the next
 * step.
 */
final class StepContext implements Effects {
    private final EpochClock mEpochClock;
    private final List<Effect> mEffects = new ArrayList<>();
    private long mNowNanos;
    private long mOffsetMillis;

    StepContext(EpochClock epochClock) {
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

    /** Shifts the wall-clock time so that it continues from the given time. */
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
