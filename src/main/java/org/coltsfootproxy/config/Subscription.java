package org.coltsfootproxy.config;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.message.ConfigMessage;

/** What a control host knows of one subscriber. */
final class Subscription {
    private final HostId mHost;
    private final Deque<ConfigMessage.Update> mParts = new ArrayDeque<>();
    private long mVersion;
    private long mSentVersion;
    private long mSeenAt;
    private long mEarlierSentVersion;

    Subscription(HostId host) {
        mHost = host;
    }

    HostId host() {
        return mHost;
    }

    /** Returns the version that the subscriber last named. */
    long version() {
        return mVersion;
    }

    long seenAt() {
        return mSeenAt;
    }

    /** Returns the version that the subscriber has once all that was sent has arrived. */
    long sentVersion() {
        return mSentVersion;
    }

    /**
     * Notes a renewal.
     *
     * @return whether what was sent must be taken for lost: the subscriber still names a version
     *     below what had been sent when it renewed before
     */
    boolean seen(long version, long nowNanos) {
        boolean isLost = version < mEarlierSentVersion && mParts.isEmpty();
        mVersion = version;
        mSeenAt = nowNanos;
        mEarlierSentVersion = mSentVersion;
        return isLost;
    }

    /** Begins anew from a version that the subscriber named. */
    void beginAt(long version) {
        mParts.clear();
        mSentVersion = version;
        mEarlierSentVersion = version;
    }

    /** Tells whether parts wait to be sent. */
    boolean isBusy() {
        return !mParts.isEmpty();
    }

    void enqueue(Collection<ConfigMessage.Update> parts) {
        mParts.addAll(parts);
    }

    /** Takes the next part to send; the last one counts its version as sent. */
    ConfigMessage.Update next() {
        ConfigMessage.Update part = mParts.remove();
        if (mParts.isEmpty()) {
            mSentVersion = part.to();
        }
        return part;
    }
}
