package org.coltsfootproxy.admission;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.RequestId;

/**
 * Deduplicates requests at an agent by id, so that no request runs here twice.
 *
 * <p>Each id that arrived or was asked about is kept for {@code retentionNanos}. When it is
 * removed, the high-water mark of its origin rises to at least its sequence number. An unknown id
 * at or below its origin's mark is too late and never counts as new. So a duplicate never runs,
 * however late it arrives; the retention only bounds memory.
 *
 * <p>If the retention is at least the maximum time to live of a request, a request that is too late
 * is also past its deadline, because the request that set the mark was created after it and has
 * been kept for that time. When the maximum size is reached, new ids are refused; no id is removed
 * early.
 */
public final class SeenRequests {
    /** How to handle a request that arrived. */
    public enum Arrival {
        /** Not seen before: run it. */
        NEW,
        /** A duplicate of a request that waits or runs here: ignore it. */
        DUPLICATE,
        /** A duplicate of a request that ended here: reply that its answer is lost. */
        ENDED,
        /** Reported as never seen before it arrived: drop it. */
        REFUSED,
        /** Sent to another incarnation of this agent: refuse it as not run here. */
        OTHER_INCARNATION,
        /** Possibly seen before and removed since: refuse it as possibly run. */
        TOO_LATE,
        /** No further id can be kept: refuse it as overloaded and not run. */
        FULL
    }

    /** The reply to a query about a request. */
    public enum Answer {
        /** The request waits or runs here. */
        HAVE,
        /** The request ended here. */
        ENDED,
        /** The request never arrived and will be refused if it does. */
        NEVER_SEEN,
        /** The request may have run. */
        MAYBE
    }

    private enum State {
        ACTIVE,
        ENDED,
        REFUSED
    }

    private record Entry(State state, long expiresAt) {}

    private final Incarnation mIncarnation;
    private final int mMaxIds;
    private final int mMaxOrigins;
    private final long mRetentionNanos;
    private final LinkedHashMap<RequestId, Entry> mEntries = new LinkedHashMap<>();
    private final Map<Long, Long> mHighWaterMarks = new HashMap<>();

    private SeenRequests(Incarnation incarnation, int maxIds, int maxOrigins, long retentionNanos) {
        mIncarnation = checkNotNull(incarnation, "incarnation");
        checkArgument(maxIds > 0, "maxIds %s must be positive", maxIds);
        checkArgument(maxOrigins > 0, "maxOrigins %s must be positive", maxOrigins);
        checkArgument(retentionNanos > 0, "retentionNanos %s must be positive", retentionNanos);
        mMaxIds = maxIds;
        mMaxOrigins = maxOrigins;
        mRetentionNanos = retentionNanos;
    }

    /**
     * Returns an empty instance for a new incarnation of the agent.
     *
     * @param maxIds maximum number of ids kept at the same time
     * @param maxOrigins maximum number of origins whose high-water mark is kept
     * @param retentionNanos how long an id is kept, at least the maximum time to live of a request
     */
    public static SeenRequests create(
            Incarnation incarnation, int maxIds, int maxOrigins, long retentionNanos) {
        return new SeenRequests(incarnation, maxIds, maxOrigins, retentionNanos);
    }

    /**
     * Records that a request arrived.
     *
     * @param intended the incarnation of this agent that it was sent to
     */
    public Arrival arrived(RequestId request, Incarnation intended, long nowNanos) {
        removeExpired(nowNanos);
        if (!intended.equals(mIncarnation)) {
            return Arrival.OTHER_INCARNATION;
        }
        Entry entry = mEntries.get(request);
        if (entry != null) {
            return arrivalOf(entry.state());
        }
        if (isAtOrBelowMark(request)) {
            return Arrival.TOO_LATE;
        }
        if (isFull(request)) {
            return Arrival.FULL;
        }
        remember(request, State.ACTIVE, nowNanos);
        return Arrival.NEW;
    }

    private static Arrival arrivalOf(State state) {
        return switch (state) {
            case ACTIVE -> Arrival.DUPLICATE;
            case ENDED -> Arrival.ENDED;
            case REFUSED -> Arrival.REFUSED;
        };
    }

    /**
     * Replies to a query about a request; if it never arrived, it is refused from now on.
     *
     * @param intended the incarnation of this agent that the request was sent to
     */
    public Answer asked(RequestId request, Incarnation intended, long nowNanos) {
        removeExpired(nowNanos);
        if (!intended.equals(mIncarnation)) {
            return Answer.MAYBE;
        }
        Entry entry = mEntries.get(request);
        if (entry != null) {
            return answerOf(entry.state());
        }
        if (isAtOrBelowMark(request) || isFull(request)) {
            return Answer.MAYBE;
        }
        remember(request, State.REFUSED, nowNanos);
        return Answer.NEVER_SEEN;
    }

    private static Answer answerOf(State state) {
        return switch (state) {
            case ACTIVE -> Answer.HAVE;
            case ENDED -> Answer.ENDED;
            case REFUSED -> Answer.NEVER_SEEN;
        };
    }

    /** Records that a request that was {@link Arrival#NEW} here ended, with any outcome. */
    public void ended(RequestId request, long nowNanos) {
        mEntries.computeIfPresent(
                request,
                (id, entry) ->
                        entry.state() == State.ACTIVE
                                ? new Entry(State.ENDED, entry.expiresAt())
                                : entry);
        removeExpired(nowNanos);
    }

    /** Returns the number of ids that are kept. */
    public int size() {
        return mEntries.size();
    }

    private boolean isAtOrBelowMark(RequestId request) {
        Long mark = mHighWaterMarks.get(request.origin());
        return mark != null && request.sequence() <= mark;
    }

    private boolean isFull(RequestId request) {
        return mEntries.size() >= mMaxIds
                || mHighWaterMarks.size() >= mMaxOrigins
                        && !mHighWaterMarks.containsKey(request.origin());
    }

    private void remember(RequestId request, State state, long now) {
        mHighWaterMarks.putIfAbsent(request.origin(), Long.MIN_VALUE);
        mEntries.put(request, new Entry(state, now + mRetentionNanos));
    }

    /**
     * Removes expired ids in insertion order; ids of running requests are kept for another period.
     */
    private void removeExpired(long now) {
        while (!mEntries.isEmpty()) {
            Map.Entry<RequestId, Entry> first = mEntries.entrySet().iterator().next();
            if (first.getValue().expiresAt() > now) {
                return;
            }
            RequestId request = first.getKey();
            mEntries.remove(request);
            if (first.getValue().state() == State.ACTIVE) {
                remember(request, State.ACTIVE, now);
            } else {
                mHighWaterMarks.merge(request.origin(), request.sequence(), Math::max);
            }
        }
    }
}
