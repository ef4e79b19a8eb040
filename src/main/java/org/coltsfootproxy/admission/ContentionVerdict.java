package org.coltsfootproxy.admission;

import java.util.Locale;

/** The decision on a request under contention, and its reason. */
public enum ContentionVerdict {
    /** Admitted: no wait is expected. */
    IDLE(true, "no wait is expected"),
    /** Admitted: the expected wait is short enough for the caller's rank and share. */
    SHORT_WAIT(true, "the expected wait is short enough"),
    /** Admitted: the request returns at the time that was reserved for it. */
    RESERVED(true, "capacity was reserved for its return"),
    /** Admitted: its organisation, rank, kind or size is below its minimum share. */
    MINIMUM_SHARE(true, "its group is below its minimum share"),
    /** Refused: it could not be answered before its deadline. */
    PAST_DEADLINE(false, "it can't be answered before its deadline"),
    /** Refused: its caller's goal would be missed. */
    LATE(false, "no target has a free slot in time"),
    /** Refused: capacity goes to more urgent requests. */
    LESS_URGENT(false, "capacity goes to requests of a more urgent rank"),
    /** Refused: its organisation has received more than its fair share. */
    ABOVE_SHARE(false, "its organisation has received more than its fair share"),
    /** Refused: capacity is reserved for the returns of others. */
    RESERVED_FOR_OTHERS(false, "capacity is reserved for returning requests");

    private final boolean mIsAdmitted;
    private final String mReason;

    ContentionVerdict(boolean isAdmitted, String reason) {
        mIsAdmitted = isAdmitted;
        mReason = reason;
    }

    /** Returns whether the request is admitted. */
    public boolean isAdmitted() {
        return mIsAdmitted;
    }

    /** Returns the reason as a part of a sentence. */
    public String reason() {
        return mReason;
    }

    /** Returns the name in log lines and metrics. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
