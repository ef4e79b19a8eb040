package org.coltsfootproxy.entry;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.RequestId;
import org.coltsfootproxy.config.Organisation;
import org.coltsfootproxy.config.Route;
import org.coltsfootproxy.node.Input;

/** An online request at the entry, with its progress. */
final class Request {
    private final RequestId mId;
    private final Input.HttpCall mCall;
    private final Route mRoute;
    private final Organisation mOrganisation;
    private final long mArrivedNanos;
    private final long mDeadlineNanos;
    private final Set<HostId> mTried = new HashSet<>();
    private RequestState mState = RequestState.CHART.initial();
    private HostId mAgent;
    private Incarnation mIncarnation = Incarnation.UNKNOWN;
    private int mAttempts;

    /** Whether the status and headers of the answer have arrived. */
    private boolean mHeadSeen;

    /** Sequence number of the next chunk of the answer. */
    private int mNextChunk;

    private long mLastActivityNanos;
    private long mAskingSinceNanos;
    private boolean mMayHaveRun;

    private Request(
            RequestId id,
            Input.HttpCall call,
            Route route,
            Organisation organisation,
            long arrivedNanos,
            long deadlineNanos) {
        mId = id;
        mCall = call;
        mRoute = route;
        mOrganisation = organisation;
        mArrivedNanos = arrivedNanos;
        mDeadlineNanos = deadlineNanos;
    }

    static Request of(
            RequestId id,
            Input.HttpCall call,
            Route route,
            Organisation organisation,
            long now,
            long deadlineNanos) {
        return new Request(id, call, route, organisation, now, deadlineNanos);
    }

    RequestId id() {
        return mId;
    }

    Input.HttpCall call() {
        return mCall;
    }

    Route route() {
        return mRoute;
    }

    Organisation organisation() {
        return mOrganisation;
    }

    long arrivedNanos() {
        return mArrivedNanos;
    }

    long deadlineNanos() {
        return mDeadlineNanos;
    }

    /** Returns whether the request may safely run more than once. */
    boolean isRepeatable() {
        return mRoute.isRepeatable(mCall.method());
    }

    RequestState state() {
        return mState;
    }

    boolean isIn(RequestState state) {
        return mState == state;
    }

    /** Applies an event to the state and returns whether the state changed. */
    boolean transition(RequestState.Event event) {
        RequestState before = mState;
        mState = before.after(event);
        return mState != before;
    }

    /** Records that the request is sent to an agent. */
    void recordSend(HostId agent, Incarnation incarnation, long now) {
        mAgent = agent;
        mIncarnation = incarnation;
        mTried.add(agent);
        mAttempts++;
        mLastActivityNanos = now;
        transition(RequestState.Event.SEND);
    }

    Optional<HostId> agent() {
        return Optional.ofNullable(mAgent);
    }

    boolean isAssignedTo(HostId agent) {
        return agent.equals(mAgent);
    }

    Incarnation incarnation() {
        return mIncarnation;
    }

    Set<HostId> tried() {
        return mTried;
    }

    int attempts() {
        return mAttempts;
    }

    boolean headSeen() {
        return mHeadSeen;
    }

    void headArrived() {
        mHeadSeen = true;
    }

    int nextChunk() {
        return mNextChunk;
    }

    void chunkArrived() {
        mNextChunk++;
    }

    /** Returns when the agent last sent a message about this request, or when it was sent. */
    long lastActivityNanos() {
        return mLastActivityNanos;
    }

    void recordActivity(long now) {
        mLastActivityNanos = now;
    }

    /** Returns when the entry began to ask the agent about this request. */
    long askingSinceNanos() {
        return mAskingSinceNanos;
    }

    void startAsking(long now) {
        mAskingSinceNanos = now;
    }

    /** Records that an attempt may have run; a later refusal does not reset this. */
    void markMayHaveRun() {
        mMayHaveRun = true;
    }

    /** Returns whether any attempt may have run. */
    boolean hasPossiblyRun() {
        return mMayHaveRun;
    }
}
