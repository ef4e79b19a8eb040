package org.coltsfootproxy.config;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.coltsfootproxy.message.ConfigMessage;

/** The renewals of a subscriber that are in flight, with the times at which they were sent. */
final class Renewals {
    private static final int MAX_IN_FLIGHT = 32;

    private final Map<Long, Long> mSentNanosBySequence =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
                    return size() > MAX_IN_FLIGHT;
                }
            };

    private long mLastSequence;
    private long mAwaitedVersion = -1;
    private long mAwaitedSentNanos;

    /** Records that a renewal is sent now, and returns its sequence number. */
    long recordSent(long nowNanos) {
        mLastSequence++;
        mSentNanosBySequence.put(mLastSequence, nowNanos);
        return mLastSequence;
    }

    /**
     * Removes a confirmed renewal and returns when it was sent, or empty if the renewal is unknown.
     *
     * <p>If the confirmed version is above {@code version}, the one in force here, the confirmation
     * is kept for {@link #versionReached}.
     */
    Optional<Long> removeConfirmed(ConfigMessage.Confirmed confirmed, long version) {
        Long sentNanos = mSentNanosBySequence.remove(confirmed.sequence());
        if (sentNanos != null && confirmed.version() > version) {
            mAwaitedVersion = confirmed.version();
            mAwaitedSentNanos = sentNanos;
        }
        return Optional.ofNullable(sentNanos);
    }

    /**
     * Returns when the renewal was sent whose confirmation was waiting for this version, if there
     * is one.
     */
    Optional<Long> versionReached(long version) {
        if (mAwaitedVersion < 0 || version < mAwaitedVersion) {
            return Optional.empty();
        }
        mAwaitedVersion = -1;
        return Optional.of(mAwaitedSentNanos);
    }

    /** Removes all renewals, so that late confirmations are ignored. */
    void clear() {
        mSentNanosBySequence.clear();
        mAwaitedVersion = -1;
    }
}
