package org.coltsfootproxy.job;

import org.coltsfootproxy.message.LeasedItem;

/** An item that an agent holds under a lease and that has not ended. */
final class HeldItem {
    private final LeasedItem mItem;
    private long mExpiryNanos;
    private Step mStep = Step.QUEUED;

    /** Progress of an item on its agent. */
    enum Step {
        /** Waits for a slot, or for its durable start to be requested. */
        QUEUED,
        /** Waits for its durable start to be granted. */
        STARTING,
        /** Its durable start was granted; waits for a slot. */
        CLEARED,
        /** Runs at the target. */
        RUNNING
    }

    private HeldItem(LeasedItem item, long expiryNanos) {
        mItem = item;
        mExpiryNanos = expiryNanos;
    }

    static HeldItem of(LeasedItem item, long expiryNanos) {
        return new HeldItem(item, expiryNanos);
    }

    LeasedItem item() {
        return mItem;
    }

    long expiryNanos() {
        return mExpiryNanos;
    }

    void extend(long expiryNanos) {
        mExpiryNanos = Math.max(mExpiryNanos, expiryNanos);
    }

    Step step() {
        return mStep;
    }

    void setStep(Step step) {
        mStep = step;
    }

    boolean isRunning() {
        return mStep == Step.RUNNING;
    }
}
