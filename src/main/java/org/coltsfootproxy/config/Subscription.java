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
    private long mSentAt;
    private long mSeenAt;

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

    /** Notes a renewal. */
    void seen(long version, long nowNanos) {
        mVersion = version;
        mSeenAt = nowNanos;
    }

    /** Begins anew from the version that the subscriber named. */
    void beginAt(long version) {
        mParts.clear();
        mSentVersion = version;
    }

    /** Tells whether what was sent must be taken for lost. */
    boolean isLost(long nowNanos, long patienceNanos) {
        return mVersion < mSentVersion && mParts.isEmpty() && nowNanos - mSentAt >= patienceNanos;
    }

    /** Tells whether parts wait to be sent. */
    boolean isBusy() {
        return !mParts.isEmpty();
    }

    void enqueue(Collection<ConfigMessage.Update> parts) {
        mParts.addAll(parts);
    }

    /** Takes the next part to send; the last one counts its version as sent. */
    ConfigMessage.Update next(long nowNanos) {
        ConfigMessage.Update part = mParts.remove();
        mSentAt = nowNanos;
        if (mParts.isEmpty()) {
            mSentVersion = part.to();
        }
        return part;
    }
}
