package org.coltsfootproxy.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.node.Node;

/**
 * Decides which calls an entry still accepts after a planned stop has begun.
 *
 * <p>During the drain delay it accepts calls whose deadline is before the end of the stop, so that
 * none of them is cut. After the drain delay it accepts none.
 */
public final class StopWindow {
    /** Time before the end of the stop by which calls must have ended, to write their answers. */
    private static final long ANSWER_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private final EntrySettings mSettings;
    private boolean mHasBegun;
    private boolean mIsDelayOver;
    private long mBeganAt;

    private StopWindow(EntrySettings settings) {
        mSettings = checkNotNull(settings, "settings");
    }

    /** Returns an instance for a host that is not stopping. */
    public static StopWindow of(EntrySettings settings) {
        return new StopWindow(settings);
    }

    /** Begins the stop. */
    public void begin(long nowNanos) {
        mHasBegun = true;
        mBeganAt = nowNanos;
    }

    /** Returns whether the stop has begun. */
    public boolean hasBegun() {
        return mHasBegun;
    }

    /**
     * Checks that a call can be accepted.
     *
     * @param deadlineNanos time by which the call will have ended
     * @throws ProxyException of kind {@link ErrorKind#STOPPING} if it has to be refused
     */
    public void check(long deadlineNanos, long nowNanos) throws ProxyException {
        long latestEnd = mSettings.stopNanos() - ANSWER_MARGIN_NANOS;
        if (mHasBegun && (isDelayOver(nowNanos) || deadlineNanos - mBeganAt > latestEnd)) {
            throw ProxyException.of(ErrorKind.STOPPING, "the host is stopping");
        }
    }

    private boolean isDelayOver(long nowNanos) {
        return nowNanos - mBeganAt >= mSettings.drainDelayNanos();
    }

    /** Returns whether the drain delay has just ended; true once. */
    public boolean tick(long nowNanos) {
        boolean ends = mHasBegun && !mIsDelayOver && isDelayOver(nowNanos);
        mIsDelayOver |= ends;
        return ends;
    }

    /** Returns whether no further call is accepted. */
    public boolean isClosed() {
        return mIsDelayOver;
    }

    /** Returns the time at which {@link #tick} is due next, or {@link Node#NEVER}. */
    public long nextTickNanos() {
        return mHasBegun && !mIsDelayOver ? mBeganAt + mSettings.drainDelayNanos() : Node.NEVER;
    }
}
