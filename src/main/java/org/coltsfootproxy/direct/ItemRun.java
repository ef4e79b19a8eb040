package org.coltsfootproxy.direct;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.TargetId;
import org.coltsfootproxy.message.ItemProgress;
import org.coltsfootproxy.message.LeaseRef;
import org.coltsfootproxy.message.LeasedItem;
import org.coltsfootproxy.message.PartialOutput;

/** One batch item that this host runs: what it has made so far, and where it is. */
final class ItemRun {
    /** Part of the mean run that must be left beside an item's own rest for it to make room. */
    private static final double SPARE_RUNS = 0.5;

    private final LeasedItem mItem;
    private final ItemCall.Post mCall;
    private final long mBegan;
    private final Set<TargetId> mTried = new HashSet<>();
    private final EventReader mEvents = new EventReader();
    private final ByteArrayOutputStream mOutput = new ByteArrayOutputStream();
    private Target mTarget;
    private long mTargetCall;
    private long mSentAt;
    private long mActiveNanos;
    private boolean mHasSuccess;
    private int mBreaks;
    private boolean mIsKept;
    private int mKeptBytes;
    private long mHeard;

    private ItemRun(LeasedItem item, ItemCall.Post call, long nowNanos) {
        mItem = item;
        mCall = call;
        mBegan = nowNanos;
        PartialOutput made = item.made();
        mOutput.writeBytes(made.bytes());
        mKeptBytes = made.bytes().length;
        if (!made.lastEvent().isEmpty()) {
            mEvents.goOnAfter(made.lastEvent());
        }
    }

    static ItemRun of(LeasedItem item, ItemCall.Post call, long nowNanos) {
        return new ItemRun(item, call, nowNanos);
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

    long began() {
        return mBegan;
    }

    /** Returns the targets that have broken off or refused this item since the last pause. */
    Set<TargetId> tried() {
        return mTried;
    }

    void sentTo(Target target, long targetCall, long nowNanos) {
        mTarget = target;
        mTargetCall = targetCall;
        mTried.add(target.listed().id());
        mEvents.dropPartial();
        mHasSuccess = false;
        mSentAt = nowNanos;
        mHeard = nowNanos;
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

    /** Returns how long the item was at targets, the present one included. */
    long activeNanos(long nowNanos) {
        return mActiveNanos + (mTarget == null ? 0 : nowNanos - mSentAt);
    }

    /** Returns when the item's job is due. */
    long dueNanos() {
        return mBegan + TimeUnit.MILLISECONDS.toNanos(mItem.dueMillis());
    }

    /**
     * Tells whether the item needs its place to be done in time. One that can wait makes room, and
     * so does one that would be late all the same.
     *
     * @param runNanos mean time of a run
     */
    boolean needsPlace(double runNanos, long nowNanos) {
        long spare = spareNanos(runNanos, nowNanos);
        return spare != Long.MAX_VALUE && spare <= SPARE_RUNS * runNanos;
    }

    /**
     * Returns how long the item can wait and still be done in time; {@link Long#MAX_VALUE} if it
     * will be late anyhow, so that it waits first.
     */
    long spareNanos(double runNanos, long nowNanos) {
        double rest = Math.max(0, runNanos - activeNanos(nowNanos));
        double spare = dueNanos() - nowNanos - rest;
        return spare > 0 ? (long) spare : Long.MAX_VALUE;
    }

    /** Tells whether other hosts were told that the item keeps its place. */
    boolean isKept() {
        return mIsKept;
    }

    void kept(boolean isKept) {
        mIsKept = isKept;
    }

    /** Notes that the target has begun to send events. */
    void began(long nowNanos) {
        mHasSuccess = true;
        mHeard = nowNanos;
    }

    boolean hasSuccess() {
        return mHasSuccess;
    }

    /** Takes a piece of the events. */
    void take(byte[] bytes, long nowNanos) {
        mHeard = nowNanos;
        byte[] whole = mEvents.take(bytes);
        if (whole.length > 0) {
            if (mOutput.size() > 0) {
                mOutput.write('\n');
            }
            mOutput.writeBytes(EventReader.data(whole).getBytes(StandardCharsets.UTF_8));
            mBreaks = 0;
        }
    }

    Optional<String> lastEvent() {
        return mEvents.lastId();
    }

    boolean isInEvent() {
        return mEvents.isInEvent();
    }

    byte[] output() {
        return mOutput.toByteArray();
    }

    /** Returns the output since the last call, or since the item was leased; empty if none. */
    Optional<ItemProgress> takeProgress() {
        int offset = mKeptBytes;
        mKeptBytes = mOutput.size();
        if (mKeptBytes == offset) {
            return Optional.empty();
        }
        byte[] piece = Arrays.copyOfRange(mOutput.toByteArray(), offset, mKeptBytes);
        return lastEvent()
                .map(id -> new ItemProgress(lease(), offset, new PartialOutput(piece, id)));
    }

    /** Notes that a target broke off; returns how often that happened without a new event. */
    int broke() {
        return ++mBreaks;
    }

    long heard() {
        return mHeard;
    }
}
