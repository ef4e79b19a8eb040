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

/** One online request at the entry and where it stands. */
final class Request {
    private final RequestId mId;
    private final Input.HttpCall mCall;
    private final Route mRoute;
    private final Organisation mOrganisation;
    private final long mArrived;
    private final long mDeadline;
    private final Set<HostId> mTried = new HashSet<>();
    private RequestState mState = RequestState.CHART.initial();
    private HostId mAgent;
    private Incarnation mIncarnation = Incarnation.UNKNOWN;
    private int mTries;
    private boolean mHeadSeen;
    private int mNextChunk;
    private long mHeard;
    private long mAskedSince;
    private boolean mMaybeRun;

    private Request(
            RequestId id,
            Input.HttpCall call,
            Route route,
            Organisation organisation,
            long arrived,
            long deadline) {
        mId = id;
        mCall = call;
        mRoute = route;
        mOrganisation = organisation;
        mArrived = arrived;
        mDeadline = deadline;
    }

    static Request of(
            RequestId id,
            Input.HttpCall call,
            Route route,
            Organisation organisation,
            long now,
            long deadline) {
        return new Request(id, call, route, organisation, now, deadline);
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

    long arrived() {
        return mArrived;
    }

    long deadline() {
        return mDeadline;
    }

    /** Tells whether a second run would do no harm. */
    boolean isRepeatable() {
        return mRoute.isRepeatable(mCall.method());
    }

    RequestState state() {
        return mState;
    }

    boolean isIn(RequestState state) {
        return mState == state;
    }

    /** Moves by the chart and returns whether the state changed. */
    boolean move(RequestState.Event event) {
        RequestState before = mState;
        mState = before.after(event);
        return mState != before;
    }

    /** Notes a try at an agent. */
    void sentTo(HostId agent, Incarnation incarnation, long now) {
        mAgent = agent;
        mIncarnation = incarnation;
        mTried.add(agent);
        mTries++;
        mHeard = now;
        move(RequestState.Event.SEND);
    }

    Optional<HostId> agent() {
        return Optional.ofNullable(mAgent);
    }

    boolean isAt(HostId agent) {
        return agent.equals(mAgent);
    }

    Incarnation incarnation() {
        return mIncarnation;
    }

    Set<HostId> tried() {
        return mTried;
    }

    int tries() {
        return mTries;
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

    /** Returns when the agent was last heard about this request, or when it was sent. */
    long heard() {
        return mHeard;
    }

    void heardNow(long now) {
        mHeard = now;
    }

    long askedSince() {
        return mAskedSince;
    }

    void askingSince(long now) {
        mAskedSince = now;
    }

    /** Notes that a try may have run, which no later refusal can undo. */
    void mayHaveRun() {
        mMaybeRun = true;
    }

    boolean hasMaybeRun() {
        return mMaybeRun;
    }
}
