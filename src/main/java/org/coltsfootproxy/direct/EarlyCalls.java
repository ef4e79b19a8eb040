package org.coltsfootproxy.direct;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.node.Node;

/**
 * Holds calls that arrive while the host is not ready, just after it started or lost the control
 * hosts.
 *
 * <p>A starting host accepts callers shortly before its configuration is confirmed and its targets
 * are known. Calls that arrive in between are held for a short time, because this gives an earlier
 * answer than a refusal and a retry. A host that stays without control hosts refuses at once.
 */
final class EarlyCalls {
    /**
     * Time after the start, or after readiness was lost, during which calls are held: a start takes
     * about one second, and an election at most another.
     */
    private static final long HOLD_WINDOW_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Longest time a call is held: a start under load took 0.8 s from listening to ready. */
    private static final long MAX_HOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

    /** Maximum number of calls held; about a second's arrivals at one host of a large site. */
    private static final int MAX_CALLS = 500;

    /** Maximum bytes of the bodies held, a twelfth of the smallest deployed heap of an entry. */
    private static final long MAX_BYTES = 8L << 20;

    private final Deque<Held> mHeld = new ArrayDeque<>();
    private long mHeldBytes;
    private long mNotReadySince;

    /** A held call. */
    record Held(Input.HttpCall call, long arrivedAt) {}

    /** Notes that the host is not ready from now on. */
    void notReady(long nowNanos) {
        mNotReadySince = nowNanos;
    }

    /** Holds a call and returns true, or returns false if it has to be refused. */
    boolean hold(Input.HttpCall call, long nowNanos) {
        boolean isFull = mHeld.size() >= MAX_CALLS || mHeldBytes + call.body().length > MAX_BYTES;
        if (isFull || nowNanos - mNotReadySince >= HOLD_WINDOW_NANOS) {
            return false;
        }
        mHeld.add(new Held(call, nowNanos));
        mHeldBytes += call.body().length;
        return true;
    }

    /** Drops the call of a caller that has disconnected. */
    void callerDisconnected(long call) {
        remove(mHeld.stream().filter(held -> held.call().call() == call).toList());
    }

    private void remove(List<Held> removed) {
        mHeld.removeAll(removed);
        mHeldBytes -= removed.stream().mapToLong(held -> held.call().body().length).sum();
    }

    /** Removes and returns all held calls in order of arrival. */
    List<Held> takeAll() {
        List<Held> all = List.copyOf(mHeld);
        remove(all);
        return all;
    }

    /** Removes and returns the calls that have been held for the longest time allowed. */
    List<Held> takeExpired(long nowNanos) {
        if (mHeld.isEmpty()) {
            return List.of();
        }
        List<Held> expired =
                mHeld.stream().filter(h -> nowNanos - h.arrivedAt() >= MAX_HOLD_NANOS).toList();
        remove(expired);
        return expired;
    }

    boolean isEmpty() {
        return mHeld.isEmpty();
    }

    long nextTickNanos() {
        return mHeld.isEmpty() ? Node.NEVER : mHeld.peek().arrivedAt() + MAX_HOLD_NANOS;
    }
}
