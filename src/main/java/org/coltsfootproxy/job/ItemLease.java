package org.coltsfootproxy.job;

import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.message.LeaseRef;

/** An exclusive grant of an item to one incarnation of an agent, until it expires. */
final class ItemLease {
    private final LeaseRef mRef;
    private final HostId mAgent;
    private long mExpiryNanos;
    private boolean mIsBusy;

    private ItemLease(LeaseRef ref, HostId agent, long expiryNanos) {
        mRef = ref;
        mAgent = agent;
        mExpiryNanos = expiryNanos;
    }

    static ItemLease of(LeaseRef ref, HostId agent, long expiryNanos) {
        return new ItemLease(ref, agent, expiryNanos);
    }

    LeaseRef ref() {
        return mRef;
    }

    HostId agent() {
        return mAgent;
    }

    long expiryNanos() {
        return mExpiryNanos;
    }

    void extend(long expiryNanos) {
        mExpiryNanos = Math.max(mExpiryNanos, expiryNanos);
    }

    /**
     * Returns whether a start or report under this lease is proposed but not yet committed. Such a
     * lease does not expire.
     */
    boolean isBusy() {
        return mIsBusy;
    }

    void setBusy(boolean isBusy) {
        mIsBusy = isBusy;
    }
}
