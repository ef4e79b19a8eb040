package org.coltsfootproxy.job;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.List;
import org.coltsfootproxy.base.HostId;

/** Selects the control host to send to, and when to try the next one, with backoff. */
final class ControlHostSelector {
    private static final long INITIAL_BACKOFF_NANOS = 200_000_000;
    private static final long MAX_BACKOFF_NANOS = 5_000_000_000L;

    private List<HostId> mControls;
    private int mCurrentIndex;
    private long mPauseUntilNanos;
    private long mNextBackoffNanos = INITIAL_BACKOFF_NANOS;
    private boolean mIsPausing;

    private ControlHostSelector(List<HostId> controls, int first) {
        mControls = List.copyOf(controls);
        mCurrentIndex = first;
    }

    /**
     * Returns a selector that tries the hosts in order.
     *
     * @param seed any number; selects the first host, so that agents spread over the hosts
     */
    static ControlHostSelector of(List<HostId> controls, long seed) {
        checkArgument(!controls.isEmpty(), "no control hosts are given");
        return new ControlHostSelector(
                controls, (int) Long.remainderUnsigned(seed, controls.size()));
    }

    /** Replaces the hosts, at least one. The current host stays selected if it is among them. */
    void controls(List<HostId> controls) {
        checkArgument(!controls.isEmpty(), "no control hosts are given");
        int index = controls.indexOf(current());
        mControls = List.copyOf(controls);
        mCurrentIndex = Math.max(0, index);
    }

    boolean knows(HostId host) {
        return mControls.contains(host);
    }

    HostId current() {
        return mControls.get(mCurrentIndex);
    }

    boolean isCurrent(HostId host) {
        return current().equals(host);
    }

    boolean isPausing(long nowNanos) {
        return mIsPausing && nowNanos - mPauseUntilNanos < 0;
    }

    boolean isPausing() {
        return mIsPausing;
    }

    long pauseEndNanos() {
        return mPauseUntilNanos;
    }

    /** Resets the backoff and ends the pause, because the current host answered as the leader. */
    void resetBackoff() {
        mNextBackoffNanos = INITIAL_BACKOFF_NANOS;
        mIsPausing = false;
    }

    /** Handles a redirect by the current host; {@code leader} may be null. */
    void redirect(HostId leader, long nowNanos) {
        int hint = leader == null ? -1 : mControls.indexOf(leader);
        if (hint >= 0 && hint != mCurrentIndex) {
            mCurrentIndex = hint;
            pause(nowNanos, INITIAL_BACKOFF_NANOS / 10);
        } else {
            next(nowNanos);
        }
    }

    /**
     * Selects the next host, after a pause that doubles with each call. Called when the current
     * host is silent, lost or knows no leader.
     */
    void next(long nowNanos) {
        mCurrentIndex = (mCurrentIndex + 1) % mControls.size();
        pause(nowNanos, mNextBackoffNanos);
        mNextBackoffNanos = Math.min(MAX_BACKOFF_NANOS, mNextBackoffNanos * 2);
    }

    private void pause(long nowNanos, long nanos) {
        mIsPausing = true;
        mPauseUntilNanos = nowNanos + nanos;
    }

    void endPause() {
        mIsPausing = false;
    }
}
