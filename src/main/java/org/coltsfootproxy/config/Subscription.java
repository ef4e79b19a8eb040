package org.coltsfootproxy.config;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.message.ConfigMessage;

/** The state of one subscriber at its control host. */
final class Subscription {
    private final HostId mHost;
    private final Deque<ConfigMessage.Update> mQueuedParts = new ArrayDeque<>();
    private long mVersion;
    private long mSentVersion;
    private long mLastRenewalNanos;
    private long mSentVersionAtLastRenewal;

    Subscription(HostId host) {
        mHost = host;
    }

    HostId host() {
        return mHost;
    }

    /** Returns the version that the subscriber had when it last renewed. */
    long version() {
        return mVersion;
    }

    long lastRenewalNanos() {
        return mLastRenewalNanos;
    }

    /** Returns the version that the subscriber reaches once everything sent has arrived. */
    long sentVersion() {
        return mSentVersion;
    }

    /**
     * Records a renewal.
     *
     * @return whether the parts sent earlier must be considered lost, because the subscriber still
     *     reports a version below the one already sent at its previous renewal
     */
    boolean recordRenewal(long version, long nowNanos) {
        boolean isLost = version < mSentVersionAtLastRenewal && mQueuedParts.isEmpty();
        mVersion = version;
        mLastRenewalNanos = nowNanos;
        mSentVersionAtLastRenewal = mSentVersion;
        return isLost;
    }

    /** Discards the queued parts and restarts from a version that the subscriber reported. */
    void restartFrom(long version) {
        mQueuedParts.clear();
        mSentVersion = version;
        mSentVersionAtLastRenewal = version;
    }

    /** Returns whether parts are queued for sending. */
    boolean hasQueuedParts() {
        return !mQueuedParts.isEmpty();
    }

    void enqueue(Collection<ConfigMessage.Update> parts) {
        mQueuedParts.addAll(parts);
    }

    /**
     * Removes and returns the next part to send. The last part of an update marks its version as
     * sent.
     */
    ConfigMessage.Update nextPart() {
        ConfigMessage.Update part = mQueuedParts.remove();
        if (mQueuedParts.isEmpty()) {
            mSentVersion = part.to();
        }
        return part;
    }
}
