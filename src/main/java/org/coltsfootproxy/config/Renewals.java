package org.coltsfootproxy.config;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.coltsfootproxy.message.ConfigMessage;

/** The renewals of a subscriber that are on their way, with the times they were sent at. */
final class Renewals {
    private static final int MAX_OUTSTANDING = 32;

    private final Map<Long, Long> mSentAt =
            new LinkedHashMap<>() {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, Long> eldest) {
                    return size() > MAX_OUTSTANDING;
                }
            };

    private long mLastSequence;
    private long mAwaitedVersion = -1;
    private long mAwaitedSentAt;

    /** Notes that a renewal is sent now and returns its sequence number. */
    long sent(long nowNanos) {
        mLastSequence++;
        mSentAt.put(mLastSequence, nowNanos);
        return mLastSequence;
    }

    /**
     * Takes a confirmation and returns when its renewal was sent, unless it is unknown.
     *
     * <p>If the confirmed version is not in force yet, it is remembered for {@link #reached}.
     */
    Optional<Long> confirmed(ConfigMessage.Confirmed confirmed, long version) {
        Long sentAt = mSentAt.remove(confirmed.sequence());
        if (sentAt != null && confirmed.version() > version) {
            mAwaitedVersion = confirmed.version();
            mAwaitedSentAt = sentAt;
        }
        return Optional.ofNullable(sentAt);
    }

    /** Returns when the renewal was sent that waited for this version, if one did. */
    Optional<Long> reached(long version) {
        if (mAwaitedVersion < 0 || version < mAwaitedVersion) {
            return Optional.empty();
        }
        mAwaitedVersion = -1;
        return Optional.of(mAwaitedSentAt);
    }

    /** Forgets all that was sent, so that late confirmations count for nothing. */
    void forget() {
        mSentAt.clear();
        mAwaitedVersion = -1;
    }
}
