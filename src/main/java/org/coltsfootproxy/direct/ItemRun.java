package org.coltsfootproxy.direct;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
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
import org.coltsfootproxy.message.ItemProgress;
import org.coltsfootproxy.message.LeaseRef;
import org.coltsfootproxy.message.LeasedItem;
import org.coltsfootproxy.message.PartialOutput;
import org.coltsfootproxy.node.Input;
import org.coltsfootproxy.quarantine.CallContent;
import org.coltsfootproxy.work.WorkEstimate;
import org.coltsfootproxy.work.WorkFeatures;
import org.coltsfootproxy.work.WorkFeatures.DeclaredSizes;

/** One batch item that this host runs: its output so far and the target it is at. */
final class ItemRun {
    /** An item with less slack than this fraction of the mean run time keeps its slot. */
    private static final double MIN_SLACK_RUNS = 0.5;

    /**
     * Size above which an output is not read any further: half of what one read of results may
     * return, and many times that of any sound item.
     */
    static final int MAX_OUTPUT_BYTES = 512 << 10;

    private final LeasedItem mItem;
    private final ItemCall.Post mCall;
    private final CallContent mContent;
    private final long mStartedAt;
    private final Set<TargetId> mTried = new HashSet<>();
    private EventReader mEvents = new EventReader();
    private Optional<SoftwareVersion> mVersion;
    private ServiceId mService;
    private ServiceId mOutputService;
    private WorkFeatures mFeatures;
    private final ByteArrayOutputStream mOutput = new ByteArrayOutputStream();
    private Optional<Set<DataCentre>> mAllowedDataCentres = Optional.empty();
    private Target mTarget;
    private long mTargetCall;
    private long mSentAt;
    private long mActiveNanos;
    private boolean mHasSuccess;
    private int mFailures;
    private boolean mIsKept;
    private int mReportedBytes;
    private int mLeasedBytes;
    private String mLeasedEvent;
    private int mRestarts;
    private long mLastActivity;
    private WorkEstimate mEstimate = WorkEstimate.UNKNOWN;

    private ItemRun(
            LeasedItem item,
            ItemCall.Post call,
            CallContent content,
            WorkFeatures features,
            long nowNanos) {
        mItem = item;
        mCall = call;
        mContent = content;
        mFeatures = features;
        mService = item.service();
        mStartedAt = nowNanos;
        PartialOutput partial = item.partialOutput();
        mOutput.writeBytes(partial.bytes());
        mReportedBytes = partial.bytes().length;
        mLeasedBytes = mReportedBytes;
        mLeasedEvent = partial.lastEvent();
        mVersion = Optional.ofNullable(partial.version());
        mOutputService = Optional.ofNullable(partial.service()).orElse(item.service());
        if (!partial.lastEvent().isEmpty()) {
            mEvents.resumeAfter(partial.lastEvent());
        }
    }

    /**
     * Returns a run that is at no target yet.
     *
     * @param promptParts parts of the prompt that other calls may share, in their order
     * @param declared sizes that the call declares
     */
    static ItemRun of(
            LeasedItem item,
            ItemCall.Post call,
            List<PromptPartId> promptParts,
            DeclaredSizes declared,
            long nowNanos) {
        WorkFeatures features =
                WorkRouting.features(
                        routeName(item.service()),
                        item.organisation(),
                        promptParts,
                        declared,
                        call.body().length);
        return new ItemRun(item, call, CallContent.ofItem(promptParts), features, nowNanos);
    }

    private static String routeName(ServiceId service) {
        return "batch:" + service.value();
    }

    /** Sets the service to which the item belongs from now on. */
    void moveTo(ServiceId service) {
        mService = service;
        mFeatures = mFeatures.withRoute(routeName(service));
    }

    /** Returns the service to which the item belongs. */
    ServiceId service() {
        return mService;
    }

    /** Returns whether the output is of a service to which the item no longer belongs. */
    boolean hasOutputOfFormerService() {
        return lastEvent().isPresent() && !mOutputService.equals(mService);
    }

    /** Returns what is known of the item's cost before it runs. */
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

    LeasedItem item() {
        return mItem;
    }

    LeaseRef lease() {
        return mItem.lease();
    }

    ItemCall.Post call() {
        return mCall;
    }

    /** Returns what of the item may crash targets. */
    CallContent content() {
        return mContent;
    }

    long startedAt() {
        return mStartedAt;
    }

    /** Sets the only data centres that the item may reach; empty for all. */
    void allowOnly(Optional<Set<DataCentre>> dataCentres) {
        mAllowedDataCentres = dataCentres;
    }

    /** Returns whether a target is in a region that the item may reach. */
    boolean isInAllowedRegion(Target target) {
        return mAllowedDataCentres.isEmpty()
                || mAllowedDataCentres.get().contains(target.listed().dataCentre());
    }

    /** Returns whether the item may be sent to a target. */
    boolean allows(Target target) {
        return isInAllowedRegion(target)
                && !mTried.contains(target.listed().id())
                && mVersion.filter(v -> !v.equals(target.listed().version())).isEmpty();
    }

    /** Returns the version of the targets that sent the output; empty if unknown or none did. */
    Optional<SoftwareVersion> version() {
        return mVersion;
    }

    /** Discards the output, because no target can resume it or because it is not sound. */
    void beginAnew() {
        mOutput.reset();
        mEvents = new EventReader();
        mVersion = Optional.empty();
        mReportedBytes = 0;
        mLeasedBytes = 0;
        mLeasedEvent = "";
        mRestarts++;
        mActiveNanos = 0;
    }

    /** Allows the targets again that the item was sent to. */
    void forgetTried() {
        mTried.clear();
    }

    void sentTo(Target target, long targetCall, long nowNanos) {
        mTarget = target;
        mTargetCall = targetCall;
        mTried.add(target.listed().id());
        mEvents.beginStream();
        mHasSuccess = false;
        mSentAt = nowNanos;
        mLastActivity = nowNanos;
    }

    /** Returns when the item was last sent to a target. */
    long sentAt() {
        return mSentAt;
    }

    Optional<Target> target() {
        return Optional.ofNullable(mTarget);
    }

    long targetCall() {
        return mTargetCall;
    }

    void leftTarget(long nowNanos) {
        if (mTarget != null) {
            mActiveNanos += nowNanos - mSentAt;
        }
        mTarget = null;
    }

    /** Returns the total time that the item has spent at targets, including the current one. */
    long activeNanos(long nowNanos) {
        return mActiveNanos + (mTarget == null ? 0 : nowNanos - mSentAt);
    }

    /** Returns the deadline of the item's job. */
    long dueNanos() {
        return mStartedAt + TimeUnit.MILLISECONDS.toNanos(mItem.remainingMillis());
    }

    /**
     * Returns whether the item needs a slot now to end before its deadline. An item that can wait
     * is preemptible, and so is one that will miss its deadline in any case.
     *
     * @param runNanos mean time of a run
     */
    boolean needsSlotNow(double runNanos, long nowNanos) {
        long slack = slackNanos(runNanos, nowNanos);
        return slack != Long.MAX_VALUE && slack <= MIN_SLACK_RUNS * runNanos;
    }

    /**
     * Returns how long the item can wait and still end before its deadline, in nanoseconds; {@link
     * Long#MAX_VALUE} if it will miss its deadline in any case, so that it is preempted first.
     */
    long slackNanos(double runNanos, long nowNanos) {
        double remaining = Math.max(0, runNanos - activeNanos(nowNanos));
        double slack = dueNanos() - nowNanos - remaining;
        return slack > 0 ? (long) slack : Long.MAX_VALUE;
    }

    /** Returns whether the item is reported to other hosts as one that keeps its slot. */
    boolean isKept() {
        return mIsKept;
    }

    void setKept(boolean isKept) {
        mIsKept = isKept;
    }

    /** Notes that the target has begun a success answer. */
    void answerStarted(long nowNanos) {
        mHasSuccess = true;
        mLastActivity = nowNanos;
    }

    boolean hasSuccess() {
        return mHasSuccess;
    }

    /** Returns whether the current target has sent a complete event. */
    boolean hasProgressed() {
        return mEvents.hasAdvanced();
    }

    /**
     * Appends received bytes; the data of events that are now complete joins the output. Only a
     * further event counts as activity of the target.
     */
    void append(byte[] bytes, long nowNanos) {
        long advances = mEvents.advances();
        byte[] complete = mEvents.append(bytes);
        if (mEvents.advances() > advances) {
            mLastActivity = nowNanos;
            mVersion = Optional.of(mTarget.listed().version());
            mOutputService = mTarget.listed().service();
        }
        EventReader.data(complete).ifPresent(this::addOutput);
    }

    private void addOutput(String data) {
        if (mOutput.size() > 0) {
            mOutput.write('\n');
        }
        mOutput.writeBytes(data.getBytes(StandardCharsets.UTF_8));
        mFailures = 0;
    }

    /** Returns why the target's answer can't be read any further; empty if it can. */
    Optional<String> fault() {
        return hasTooLongOutput()
                ? Optional.of("the output is longer than " + MAX_OUTPUT_BYTES + " bytes")
                : mEvents.fault();
    }

    /** Returns whether the output can't be sound; no target may continue it. */
    boolean hasTooLongOutput() {
        return mOutput.size() > MAX_OUTPUT_BYTES;
    }

    Optional<String> lastEvent() {
        return mEvents.lastId();
    }

    /** Notes the end of the target's stream; returns whether it ended too early. */
    boolean endsTooEarly(Input.TargetEnd end) {
        return mEvents.endsTooEarly(end.isByClose());
    }

    byte[] output() {
        return mOutput.toByteArray();
    }

    /** Returns the output added since the last call or since the lease; empty if there is none. */
    Optional<ItemProgress> takeProgress() {
        int offset = mReportedBytes;
        mReportedBytes = mOutput.size();
        if (mReportedBytes == offset) {
            return Optional.empty();
        }
        byte[] newOutput = Arrays.copyOfRange(mOutput.toByteArray(), offset, mReportedBytes);
        SoftwareVersion version = mVersion.orElse(null);
        return lastEvent()
                .map(
                        id ->
                                new ItemProgress(
                                        lease(),
                                        offset,
                                        new PartialOutput(newOutput, id, version, mOutputService),
                                        mLeasedBytes,
                                        mRestarts,
                                        mLeasedEvent));
    }

    /** Counts a failed call; returns the number of failed calls since the last complete event. */
    int callFailed() {
        return ++mFailures;
    }

    /** Returns when the target last sent data, or when the item was sent if it sent none. */
    long lastActivity() {
        return mLastActivity;
    }
}
