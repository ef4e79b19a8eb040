package org.coltsfootproxy.direct;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.node.Node;

/**
 * Calls that came before the host was ready, just after it started or lost the control hosts.
 *
 * <p>A host that starts listens for callers a little before its configuration is confirmed and its
 * targets are known. What comes in between waits for a moment: the answer comes sooner than after a
 * refusal and another try. A host that stays without control hosts refuses at once.
 */
final class EarlyCalls {
    /**
     * Time after the start, or after readiness was lost, during which calls may wait: a start takes
     * about one second, and an election at most another.
     */
    private static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Longest wait of a call: a start under load took 0.8 s from listening to ready. */
    private static final long HOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

    /** Calls beyond this number are refused; a second's arrivals of a large site at one host. */
    private static final int MAX_CALLS = 500;

    private final Deque<Held> mHeld = new ArrayDeque<>();
    private long mSince;

    /** A call that waits. */
    record Held(Input.HttpCall call, long arrivedAt) {}

    /** Notes that the host isn't ready from now on. */
    void begin(long nowNanos) {
        mSince = nowNanos;
    }

    /** Lets a call wait, and tells whether it does. */
    boolean hold(Input.HttpCall call, long nowNanos) {
        if (nowNanos - mSince >= WINDOW_NANOS || mHeld.size() >= MAX_CALLS) {
            return false;
        }
        mHeld.add(new Held(call, nowNanos));
        return true;
    }

    /** The caller has left. */
    void gone(long call) {
        mHeld.removeIf(held -> held.call().call() == call);
    }

    /** Returns all calls that wait, as they came; none waits any more. */
    List<Held> takeAll() {
        List<Held> all = List.copyOf(mHeld);
        mHeld.clear();
        return all;
    }

    /** Returns the calls whose wait is over; they don't wait any more. */
    List<Held> takeLate(long nowNanos) {
        List<Held> late =
                mHeld.stream().filter(h -> nowNanos - h.arrivedAt() >= HOLD_NANOS).toList();
        mHeld.removeAll(late);
        return late;
    }

    boolean isEmpty() {
        return mHeld.isEmpty();
    }

    long nextTickNanos() {
        return mHeld.isEmpty() ? Node.NEVER : mHeld.peek().arrivedAt() + HOLD_NANOS;
    }
}
