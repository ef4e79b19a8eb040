package org.coltsfootproxy.direct;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.base.TargetId;
import org.coltsfootproxy.config.Organisation;
import org.coltsfootproxy.config.RequestKind;
import org.coltsfootproxy.config.Route;
import org.coltsfootproxy.entry.OpenCallers;
import org.coltsfootproxy.node.Input;

/** One online request and where it stands. */
final class DirectRequest {
    private final Input.HttpCall mCall;
    private final String mName;
    private final Route mRoute;
    private final ServiceId mService;
    private final Organisation mOrganisation;
    private final boolean mIsOpen;
    private final long mArrived;
    private final long mDeadline;
    private final Set<TargetId> mTried = new HashSet<>();
    private final EventReader mEvents = new EventReader();
    private DirectState mState = DirectState.CHART.initial();
    private Target mTarget;
    private long mTargetCall;
    private int mSends;
    private int mRuns;
    private boolean mHasEvents;
    private boolean mMaybeRun;
    private long mHeard;
    private boolean mHasPlace;
    private boolean mIsPlaceChecked;
    private long mSentAt;

    private DirectRequest(
            Input.HttpCall call,
            String name,
            Route route,
            ServiceId service,
            Organisation organisation,
            boolean isOpen,
            long arrived,
            long deadline) {
        mCall = call;
        mName = name;
        mRoute = route;
        mService = service;
        mOrganisation = organisation;
        mIsOpen = isOpen;
        mArrived = arrived;
        mDeadline = deadline;
    }

    /** Returns a request that has just arrived; {@code organisation} is empty on an open route. */
    static DirectRequest of(
            Input.HttpCall call,
            CallerCall.Forward forward,
            Route route,
            ServiceId service,
            Optional<Organisation> organisation,
            long nowNanos) {
        long millis = Math.min(forward.patienceMillis(), route.timeoutMillis());
        return new DirectRequest(
                call,
                forward.requestName(),
                route,
                service,
                organisation.orElse(OpenCallers.ORGANISATION),
                organisation.isEmpty(),
                nowNanos,
                nowNanos + TimeUnit.MILLISECONDS.toNanos(millis));
    }

    Input.HttpCall call() {
        return mCall;
    }

    /** Returns the caller's own name of the request. */
    String name() {
        return mName;
    }

    Route route() {
        return mRoute;
    }

    ServiceId service() {
        return mService;
    }

    Organisation organisation() {
        return mOrganisation;
    }

    /** Tells whether the request needs no key, so that no organisation is charged. */
    boolean isOpen() {
        return mIsOpen;
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

    boolean isResumable() {
        return mRoute.policy().kind() == RequestKind.STREAM && mRoute.policy().resumable();
    }

    boolean isIn(DirectState state) {
        return mState == state;
    }

    void move(DirectState.Event event) {
        mState = mState.after(event);
    }

    /**
     * Notes that the request goes to a target.
     *
     * @param hasPlace whether the target is thought to have a free slot
     */
    void sentTo(Target target, long targetCall, boolean hasPlace, long nowNanos) {
        mHasPlace = hasPlace;
        mIsPlaceChecked = false;
        mSentAt = nowNanos;
        mTarget = target;
        mTargetCall = targetCall;
        mTried.add(target.listed().id());
        mSends++;
        mRuns++;
        mHeard = nowNanos;
        mEvents.dropPartial();
        move(DirectState.Event.SEND);
    }

    /** Notes that the present target has not run the request. */
    void notRun() {
        mRuns--;
    }

    /** Notes that the present target may have run the request, which no refusal can undo. */
    void mayHaveRun() {
        mMaybeRun = true;
    }

    boolean hasMaybeRun() {
        return mMaybeRun;
    }

    /** Tells whether another target may still run the request. */
    boolean hasRunsLeft() {
        return mRuns < mRoute.policy().maxRuns();
    }

    int sends() {
        return mSends;
    }

    Optional<Target> target() {
        return Optional.ofNullable(mTarget);
    }

    long targetCall() {
        return mTargetCall;
    }

    /** Notes that nothing is under way at a target. */
    void leftTarget() {
        mTarget = null;
    }

    Set<TargetId> tried() {
        return mTried;
    }

    /** Notes that the answer is a series of events. */
    void hasEvents(boolean hasEvents) {
        mHasEvents = hasEvents;
    }

    boolean hasEvents() {
        return mHasEvents;
    }

    EventReader events() {
        return mEvents;
    }

    /** Tells whether the target was thought to have a free slot. */
    boolean hasPlace() {
        return mHasPlace;
    }

    /** Notes that the target was looked at again. */
    void placeChecked(boolean isOverfull) {
        mHasPlace = !isOverfull;
        mIsPlaceChecked = true;
    }

    boolean isPlaceChecked() {
        return mIsPlaceChecked;
    }

    /** Returns when the request went to its present target. */
    long sentAt() {
        return mSentAt;
    }

    /** Returns when the target last sent something, or when the request went there. */
    long heard() {
        return mHeard;
    }

    void heardNow(long nowNanos) {
        mHeard = nowNanos;
    }
}
