package org.coltsfootproxy.direct;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.entry.Failure;
import org.coltsfootproxy.membership.FleetMembership;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Node;

/**
 * Holds requests to take up a stream until a control host has confirmed that the target list is
 * current.
 *
 * <p>A host that was cut off or suspended has an old list for a while. If that list shows a single
 * version, a stream that began at a newer one elsewhere would go on at the wrong version. A
 * confirmation counts only if it was requested after the stream's request arrived.
 */
final class HeldResumptions {
    /** Longest time that a request is held; a confirmation takes one round trip. */
    private static final long MAX_HOLD_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    /** Interval between two requests for a confirmation, in case one is lost. */
    private static final long ASK_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final FleetMembership mMembership;
    private final DirectCallerAnswers mAnswers;
    private final Deque<Held> mHeld = new ArrayDeque<>();
    private long mLastAsked;
    private long mNextAskAt = Node.NEVER;

    /**
     * A held request.
     *
     * @param askedBefore number of the last request for a confirmation before it arrived
     */
    private record Held(DirectRequest request, long askedBefore, long heldAt) {}

    /**
     * Creates an instance that holds nothing.
     *
     * @param membership passes the requests for a confirmation on to the control hosts
     */
    HeldResumptions(FleetMembership membership, DirectCallerAnswers answers) {
        mMembership = membership;
        mAnswers = answers;
    }

    /** Holds a request. */
    void hold(DirectRequest request, long nowNanos) {
        mHeld.add(new Held(request, mLastAsked, nowNanos));
        askForConfirmation(nowNanos);
    }

    private void askForConfirmation(long nowNanos) {
        mNextAskAt = nowNanos + ASK_INTERVAL_NANOS;
        mMembership.confirmListing(++mLastAsked, nowNanos);
    }

    /** Refuses the requests that have been held for too long; asks again for the others. */
    void tick(long nowNanos, Effects out) {
        takeExpired(nowNanos).forEach(request -> refuse(request, nowNanos, out));
        if (!mHeld.isEmpty() && nowNanos - mNextAskAt >= 0) {
            askForConfirmation(nowNanos);
        }
    }

    private void refuse(DirectRequest request, long nowNanos, Effects out) {
        Failure failure =
                Failure.notRun(
                        ErrorKind.STREAM_VERSION_UNAVAILABLE,
                        "no control host confirmed the versions that may have begun the stream",
                        SendCheck.RETRY_AFTER_MILLIS);
        mAnswers.failure(request, failure, nowNanos, out);
    }

    /** Removes and returns the requests to which a confirmation applies. */
    List<DirectRequest> takeConfirmed(long confirmation) {
        return take(mHeld.stream().filter(h -> h.askedBefore() < confirmation).toList());
    }

    private List<DirectRequest> takeExpired(long nowNanos) {
        return mHeld.isEmpty()
                ? List.of()
                : take(
                        mHeld.stream()
                                .filter(h -> nowNanos - h.heldAt() >= MAX_HOLD_NANOS)
                                .toList());
    }

    private List<DirectRequest> take(List<Held> taken) {
        mHeld.removeAll(taken);
        return taken.stream().map(Held::request).toList();
    }

    /** Drops the request of a caller that has disconnected. */
    void callerDisconnected(long call) {
        mHeld.removeIf(held -> held.request().call().call() == call);
    }

    boolean isEmpty() {
        return mHeld.isEmpty();
    }

    long nextTickNanos() {
        return mHeld.isEmpty()
                ? Node.NEVER
                : Math.min(mNextAskAt, mHeld.peek().heldAt() + MAX_HOLD_NANOS);
    }
}
