package org.coltsfootproxy.job;

import static com.google.common.base.Preconditions.checkArgument;

import java.util.List;
import org.coltsfootproxy.base.HostId;

/** Keeps track of which control host to speak to, and when to try the next one. */
final class ControlLink {
    private static final long FIRST_PAUSE_NANOS = 200_000_000;
    private static final long MAX_PAUSE_NANOS = 5_000_000_000L;

    private List<HostId> mControls;
    private int mCurrent;
    private long mPauseUntilNanos;
    private long mPauseNanos = FIRST_PAUSE_NANOS;
    private boolean mIsPausing;

    private ControlLink(List<HostId> controls, int first) {
        mControls = List.copyOf(controls);
        mCurrent = first;
    }

    /**
     * Returns the link that tries the hosts in order.
     *
     * @param spread any number; spreads first tries over the hosts
     */
    static ControlLink of(List<HostId> controls, long spread) {
        checkArgument(!controls.isEmpty(), "no control hosts are given");
        return new ControlLink(controls, (int) Long.remainderUnsigned(spread, controls.size()));
    }

    /** Replaces the hosts, at least one; the present one stays if it is among them. */
    void controls(List<HostId> controls) {
        checkArgument(!controls.isEmpty(), "no control hosts are given");
        int same = controls.indexOf(host());
        mControls = List.copyOf(controls);
        mCurrent = Math.max(0, same);
    }

    boolean knows(HostId host) {
        return mControls.contains(host);
    }

    HostId host() {
        return mControls.get(mCurrent);
    }

    boolean isHost(HostId host) {
        return host().equals(host);
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

    /** The host answers: it leads. */
    void confirm() {
        mPauseNanos = FIRST_PAUSE_NANOS;
        mIsPausing = false;
    }

    /** The host sends its asker elsewhere; {@code leader} may be null. */
    void redirect(HostId leader, long nowNanos) {
        int hint = leader == null ? -1 : mControls.indexOf(leader);
        if (hint >= 0 && hint != mCurrent) {
            mCurrent = hint;
            pause(nowNanos, FIRST_PAUSE_NANOS / 10);
        } else {
            next(nowNanos);
        }
    }

    /** The host is silent or knows no leader: try the next one after a growing pause. */
    void next(long nowNanos) {
        mCurrent = (mCurrent + 1) % mControls.size();
        pause(nowNanos, mPauseNanos);
        mPauseNanos = Math.min(MAX_PAUSE_NANOS, mPauseNanos * 2);
    }

    private void pause(long nowNanos, long nanos) {
        mIsPausing = true;
        mPauseUntilNanos = nowNanos + nanos;
    }

    void endPause() {
        mIsPausing = false;
    }
}
