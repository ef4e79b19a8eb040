package org.coltsfootproxy.direct;

import com.google.common.hash.Hashing;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.PromptPartId;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.base.SoftwareVersion;
import org.coltsfootproxy.base.TargetId;
import org.coltsfootproxy.config.Organisation;
import org.coltsfootproxy.config.RequestKind;
import org.coltsfootproxy.config.Route;
import org.coltsfootproxy.entry.OpenCallers;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.quarantine.CallContent;
import org.coltsfootproxy.work.WorkEstimate;
import org.coltsfootproxy.work.WorkFeatures;
import org.coltsfootproxy.work.WorkFeatures.DeclaredSizes;

/** One online request and its progress. */
final class DirectRequest {
    /** Fraction of the goal that a request may wait for the limit of a target. */
    private static final double MAX_HOLD_GOAL_FRACTION = 0.7;

    /** Fraction of the time until the deadline that a request may wait in any case. */
    private static final double MAX_HOLD_TIME_FRACTION = 1 / 3.0;

    /** Fraction of the first-event goal after which a silent target is abandoned. */
    private static final double FIRST_EVENT_TIMEOUT_FACTOR = 0.8;

    /** Multiple of the goal for a complete answer after which a silent target is abandoned. */
    private static final double ANSWER_TIMEOUT_FACTOR = 1.5;

    /** Fraction of the longest gap between events after which a silent target is abandoned. */
    private static final double EVENT_GAP_TIMEOUT_FACTOR = 0.75;

    private final Input.HttpCall mCall;
    private final String mName;
    private final Route mRoute;
    private final ServiceId mService;
    private final Organisation mOrganisation;
    private final boolean mIsOpen;
    private final Optional<CallerCall.Resumption> mResumption;
    private final CallContent mContent;
    private final long mContentHash;
    private final WorkFeatures mFeatures;
    private final long mArrived;
    private final long mDeadline;
    private final Set<TargetId> mTried = new HashSet<>();
    private final EventReader mEvents = new EventReader();
    private final SendBudget mBudget;
    private Optional<SoftwareVersion> mVersion = Optional.empty();
    private Optional<Set<DataCentre>> mAllowedDataCentres = Optional.empty();
    private DirectState mState = DirectState.CHART.initial();
    private Target mTarget;
    private long mTargetCall;
    private boolean mHasHead;
    private boolean mIsSuspect;
    private boolean mHasEventStream;
    private boolean mHasPossiblyRun;
    private long mLastActivity;
    private boolean mHasFreeSlot;
    private boolean mIsSlotRechecked;
    private long mSentAt;
    private WorkEstimate mEstimate = WorkEstimate.UNKNOWN;

    private DirectRequest(
            Input.HttpCall call,
            String name,
            Route route,
            ServiceId service,
            Organisation organisation,
            boolean isOpen,
            Optional<CallerCall.Resumption> resumption,
            CallContent content,
            long contentHash,
            WorkFeatures features,
            long arrived,
            long deadline) {
        mCall = call;
        mName = name;
        mRoute = route;
        mService = service;
        mOrganisation = organisation;
        mIsOpen = isOpen;
        mResumption = resumption;
        mContent = content;
        mContentHash = contentHash;
        mFeatures = features;
        mArrived = arrived;
        mLastActivity = arrived;
        mDeadline = deadline;
        mBudget = SendBudget.of(route.policy().maxTargets());
        resumption.filter(r -> isResumable()).ifPresent(r -> mEvents.resumeAfter(r.lastEvent()));
    }

    /**
     * Returns a request that has just arrived.
     *
     * @param organisation empty on an open route
     * @param promptParts parts of the prompt that other requests may share, in their order
     * @param declared sizes that the caller declares
     */
    static DirectRequest of(
            Input.HttpCall call,
            CallerCall.Forward forward,
            Route route,
            ServiceId service,
            Optional<Organisation> organisation,
            List<PromptPartId> promptParts,
            DeclaredSizes declared,
            long nowNanos) {
        long millis = Math.min(forward.callerTimeoutMillis(), route.timeoutMillis());
        Organisation caller = organisation.orElse(OpenCallers.ORGANISATION);
        long contentHash = contentHash(call, forward, caller);
        return new DirectRequest(
                call,
                forward.requestName(),
                route,
                service,
                caller,
                organisation.isEmpty(),
                forward.resumption(),
                CallContent.ofRequest(promptParts, contentHash),
                contentHash,
                WorkRouting.features(
                        route.id().value(),
                        caller.id().value(),
                        promptParts,
                        declared,
                        call.body().length),
                nowNanos,
                nowNanos + TimeUnit.MILLISECONDS.toNanos(millis));
    }

    private static long contentHash(
            Input.HttpCall call, CallerCall.Forward forward, Organisation caller) {
        return Hashing.murmur3_128()
                .newHasher()
                .putUnencodedChars(caller.id().value())
                .putChar('\n')
                .putUnencodedChars(call.method())
                .putChar('\n')
                .putUnencodedChars(forward.hostName())
                .putUnencodedChars(call.path())
                .putChar('\n')
                .putBytes(call.body())
                .hash()
                .asLong();
    }

    Input.HttpCall call() {
        return mCall;
    }

    /** Returns the request id that the caller gave. */
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

    /** Returns whether the request needs no key, so that it counts for no organisation's rate. */
    boolean isOpen() {
        return mIsOpen;
    }

    /** Returns the stream that the caller takes up again; empty for a new request. */
    Optional<CallerCall.Resumption> resumption() {
        return mResumption;
    }

    /** Returns what of the request may crash targets. */
    CallContent content() {
        return mContent;
    }

    /**
     * Returns a hash of the caller, the path and the body, by which a repeat is recognised: it has
     * another request id.
     */
    long contentHash() {
        return mContentHash;
    }

    /** Returns what is known of the request's cost before it runs. */
    WorkFeatures features() {
        return mFeatures;
    }

    /** Sets the expected cost. */
    void setEstimate(WorkEstimate estimate) {
        mEstimate = estimate;
    }

    /** Returns the expected cost. */
    WorkEstimate estimate() {
        return mEstimate;
    }

    long arrived() {
        return mArrived;
    }

    long deadline() {
        return mDeadline;
    }

    /** Returns whether the request may safely run more than once. */
    boolean isRepeatable() {
        return mRoute.isRepeatable(mCall.method());
    }

    boolean isResumable() {
        return mRoute.policy().kind() == RequestKind.STREAM && mRoute.policy().resumable();
    }

    boolean isIn(DirectState state) {
        return mState == state;
    }

    void transition(DirectState.Event event) {
        mState = mState.after(event);
    }

    /**
     * Notes that the request is sent to a target.
     *
     * @param hasFreeSlot whether the target is believed to have a free slot
     * @param isSuspect whether other targets have crashed on such a request
     */
    void sentTo(
            Target target, long targetCall, boolean hasFreeSlot, boolean isSuspect, long nowNanos) {
        mHasFreeSlot = hasFreeSlot;
        mIsSuspect = isSuspect;
        mIsSlotRechecked = false;
        mSentAt = nowNanos;
        mTarget = target;
        mTargetCall = targetCall;
        mTried.add(target.listed().id());
        mBudget.sent();
        mLastActivity = nowNanos;
        mHasHead = false;
        mEvents.beginStream();
        transition(DirectState.Event.SEND);
    }

    /** Returns how often the request has been sent and how many targets it has reached. */
    SendBudget budget() {
        return mBudget;
    }

    /** Notes that a target may have run the request. A later refusal does not clear this. */
    void notePossiblyRun() {
        mHasPossiblyRun = true;
    }

    boolean hasPossiblyRun() {
        return mHasPossiblyRun;
    }

    /**
     * Returns until when the request may wait for a target's limit, since its arrival or the last
     * output that its caller got.
     */
    long latestSend() {
        long begin = Math.max(mArrived, mLastActivity);
        long goal = TimeUnit.MILLISECONDS.toNanos(mRoute.policy().goalMillis());
        double wait =
                Math.max(
                        MAX_HOLD_GOAL_FRACTION * goal,
                        MAX_HOLD_TIME_FRACTION * (mDeadline - begin));
        return begin + (long) wait;
    }

    Optional<Target> target() {
        return Optional.ofNullable(mTarget);
    }

    long targetCall() {
        return mTargetCall;
    }

    /** Notes that the request has no call in flight at a target. */
    void leftTarget() {
        mTarget = null;
    }

    /** Sets the version of the targets at which the stream may go on. */
    void setVersion(SoftwareVersion version) {
        mVersion = Optional.of(version);
    }

    /** Returns the version of the targets at which the stream may go on; empty for any. */
    Optional<SoftwareVersion> version() {
        return mVersion;
    }

    /** Sets the only data centres that the request and its body may reach; empty for all. */
    void allowOnly(Optional<Set<DataCentre>> dataCentres) {
        mAllowedDataCentres = dataCentres;
    }

    /** Returns whether the request may reach only some data centres. */
    boolean isRestricted() {
        return mAllowedDataCentres.isPresent();
    }

    /** Returns whether a target is in a region that the request and its body may reach. */
    boolean isInAllowedRegion(Target target) {
        return mAllowedDataCentres.isEmpty()
                || mAllowedDataCentres.get().contains(target.listed().dataCentre());
    }

    /** Returns whether the request may be sent to a target. */
    boolean allows(Target target) {
        return isInAllowedRegion(target)
                && !mTried.contains(target.listed().id())
                && mVersion.filter(v -> !v.equals(target.listed().version())).isEmpty();
    }

    /** Notes that the current target has begun an answer that is being passed on. */
    void answerBegun() {
        mHasHead = true;
        transition(DirectState.Event.HEAD);
    }

    /** Returns whether other targets had crashed on such a request before it was last sent. */
    boolean isSuspect() {
        return mIsSuspect;
    }

    /** Returns whether the current target has begun an answer. */
    boolean hasHead() {
        return mHasHead;
    }

    /** Returns whether the current target has sent a complete event. */
    boolean hasProgressed() {
        return mEvents.hasAdvanced();
    }

    /** Sets whether the answer is an event stream. */
    void setEventStream(boolean hasEventStream) {
        mHasEventStream = hasEventStream;
    }

    boolean hasEventStream() {
        return mHasEventStream;
    }

    /**
     * Returns the part of a body that is complete after more bytes have arrived: whole events of an
     * event stream, or all bytes of another body.
     *
     * <p>Only a further event counts as activity of a stream. A target that stalls may still send a
     * byte or a comment now and then.
     */
    byte[] append(byte[] bytes, long nowNanos) {
        if (!mHasEventStream) {
            mLastActivity = nowNanos;
            return bytes;
        }
        long advances = mEvents.advances();
        byte[] complete = mEvents.append(bytes);
        if (mEvents.advances() > advances) {
            mLastActivity = nowNanos;
        }
        return complete;
    }

    EventReader events() {
        return mEvents;
    }

    /** Returns whether the target is believed to have had a free slot at the send. */
    boolean hasFreeSlot() {
        return mHasFreeSlot;
    }

    /**
     * Notes that the target's slots were checked again.
     *
     * @param isOverfull whether the target has more calls in flight than slots
     */
    void slotRechecked(boolean isOverfull) {
        mHasFreeSlot = !isOverfull;
        mIsSlotRechecked = true;
    }

    /** Returns when the request was sent to its current target. */
    long sentAt() {
        return mSentAt;
    }

    /** Returns when the target last sent data, or when the request was sent if it sent none. */
    long lastActivity() {
        return mLastActivity;
    }

    void noteActivity(long nowNanos) {
        mLastActivity = nowNanos;
    }

    /** Returns how long the target may send nothing, in nanoseconds; 0 for no limit. */
    long silenceTimeoutNanos() {
        var policy = mRoute.policy();
        boolean isStream = isResumable();
        double millis;
        if (isIn(DirectState.SENT) && !mHasFreeSlot) {
            millis = 0;
        } else if (isIn(DirectState.ANSWERING)) {
            millis = isStream ? EVENT_GAP_TIMEOUT_FACTOR * policy.eventGapMillis() : 0;
        } else {
            millis =
                    (isStream ? FIRST_EVENT_TIMEOUT_FACTOR : ANSWER_TIMEOUT_FACTOR)
                            * policy.goalMillis();
        }
        return (long) (millis * TimeUnit.MILLISECONDS.toNanos(1));
    }

    /**
     * Returns whether the target was believed to have a free slot and this has not been checked
     * again since.
     */
    boolean needsSlotRecheck() {
        return mHasFreeSlot && !mIsSlotRechecked && isIn(DirectState.SENT);
    }
}
