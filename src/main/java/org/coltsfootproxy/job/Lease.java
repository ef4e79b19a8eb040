package org.coltsfootproxy.job;

import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.message.LeaseRef;

/** A leader's promise to leave an item to one agent's life for a while. */
final class Lease {
    private final LeaseRef mRef;
    private final HostId mAgent;
    private long mExpiryNanos;
    private boolean mIsBusy;

    private Lease(LeaseRef ref, HostId agent, long expiryNanos) {
        mRef = ref;
        mAgent = agent;
        mExpiryNanos = expiryNanos;
    }

    static Lease of(LeaseRef ref, HostId agent, long expiryNanos) {
        return new Lease(ref, agent, expiryNanos);
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

    /** Tells whether a start or report under this lease is on its way through the log. */
    boolean isBusy() {
        return mIsBusy;
    }

    void setBusy(boolean isBusy) {
        mIsBusy = isBusy;
    }
}
