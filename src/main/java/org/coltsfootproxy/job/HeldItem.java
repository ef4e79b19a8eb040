package org.coltsfootproxy.job;

import org.coltsfootproxy.message.LeasedItem;

/** An item that an agent holds and has not reported yet. */
final class HeldItem {
    private final LeasedItem mItem;
    private long mExpiryNanos;
    private Step mStep = Step.QUEUED;

    /** How far an item is at its agent. */
    enum Step {
        /** Waits for a slot. */
        QUEUED,
        /** Waits for its durable start. */
        STARTING,
        /** May run and waits for a slot. */
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
