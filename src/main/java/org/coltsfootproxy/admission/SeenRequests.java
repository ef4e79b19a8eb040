package org.coltsfootproxy.admission;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.RequestId;

/**
 * The agent's memory of request ids, by which no request runs here twice.
 *
 * <p>Each id that arrived or was asked about is kept for {@code retentionNanos}. When one is
 * forgotten, its sequence number becomes the mark of its origin: an id that isn't remembered and
 * isn't above its origin's mark is too late, never new. So a copy can't run however late it comes;
 * the time bounds only memory. With a retention of at least the longest time to live of a request,
 * a request that is too late is also past its deadline, since the one that set the mark was made
 * after it and lived that long. At the bound in size new ids are refused, and none is forgotten
 * early.
 */
public final class SeenRequests {
    /** What to do with a request that arrived. */
    public enum Arrival {
        /** Run it. */
        NEW,
        /** A copy of one that waits or runs here: do nothing. */
        COPY,
        /** A copy of one that ended here: answer that its answer is lost. */
        ENDED,
        /** Was said never to have been seen: drop it. */
        REFUSED,
        /** Sent to another life of this agent: refuse it as not run here. */
        OTHER_LIFE,
        /** So old that it may have been seen and forgotten: refuse it as perhaps run. */
        TOO_LATE,
        /** The memory is full: refuse it as overloaded and not run. */
        FULL
    }

    /** What to answer to a question about a request. */
    public enum Answer {
        /** It waits or runs here. */
        HAVE,
        /** It ended here. */
        ENDED,
        /** It never arrived and is refused from now on. */
        NEVER_SEEN,
        /** It may have run. */
        MAYBE
    }

    private enum State {
        ACTIVE,
        ENDED,
        REFUSED
    }

    private record Entry(State state, long keptUntil) {}

    private final Incarnation mOwn;
    private final int mMaxIds;
    private final int mMaxOrigins;
    private final long mRetention;
    private final LinkedHashMap<RequestId, Entry> mEntries = new LinkedHashMap<>();
    private final Map<Long, Long> mMarks = new HashMap<>();

    private SeenRequests(Incarnation own, int maxIds, int maxOrigins, long retentionNanos) {
        mOwn = checkNotNull(own, "incarnation");
        checkArgument(maxIds > 0, "max ids %s", maxIds);
        checkArgument(maxOrigins > 0, "max origins %s", maxOrigins);
        checkArgument(retentionNanos > 0, "retention %s", retentionNanos);
        mMaxIds = maxIds;
        mMaxOrigins = maxOrigins;
        mRetention = retentionNanos;
    }

    /**
     * Returns an empty memory of a new life of the agent.
     *
     * @param maxIds most ids kept at a time
     * @param maxOrigins most origins whose mark is kept
     * @param retentionNanos how long an id is kept, at least the longest time to live of a request
     */
    public static SeenRequests create(
            Incarnation own, int maxIds, int maxOrigins, long retentionNanos) {
        return new SeenRequests(own, maxIds, maxOrigins, retentionNanos);
    }

    /**
     * Notes that a request arrived.
     *
     * @param meant the life of this agent that it was sent to
     */
    public Arrival arrived(RequestId request, Incarnation meant, long nowNanos) {
        forget(nowNanos);
        if (!meant.equals(mOwn)) {
            return Arrival.OTHER_LIFE;
        }
        Entry entry = mEntries.get(request);
        if (entry != null) {
            return arrivalOf(entry.state());
        }
        if (isBelowMark(request)) {
            return Arrival.TOO_LATE;
        }
        if (isFull(request)) {
            return Arrival.FULL;
        }
        keep(request, State.ACTIVE, nowNanos);
        return Arrival.NEW;
    }

    private static Arrival arrivalOf(State state) {
        return switch (state) {
            case ACTIVE -> Arrival.COPY;
            case ENDED -> Arrival.ENDED;
            case REFUSED -> Arrival.REFUSED;
        };
    }

    /**
     * Answers a question about a request and refuses it from now on if it never arrived.
     *
     * @param meant the life of this agent that the request was sent to
     */
    public Answer asked(RequestId request, Incarnation meant, long nowNanos) {
        forget(nowNanos);
        if (!meant.equals(mOwn)) {
            return Answer.MAYBE;
        }
        Entry entry = mEntries.get(request);
        if (entry != null) {
            return answerOf(entry.state());
        }
        if (isBelowMark(request) || isFull(request)) {
            return Answer.MAYBE;
        }
        keep(request, State.REFUSED, nowNanos);
        return Answer.NEVER_SEEN;
    }

    private static Answer answerOf(State state) {
        return switch (state) {
            case ACTIVE -> Answer.HAVE;
            case ENDED -> Answer.ENDED;
            case REFUSED -> Answer.NEVER_SEEN;
        };
    }

    /** Notes that a request that was {@link Arrival#NEW} here ended, whatever its outcome. */
    public void ended(RequestId request, long nowNanos) {
        mEntries.computeIfPresent(
                request,
                (id, entry) ->
                        entry.state() == State.ACTIVE
                                ? new Entry(State.ENDED, entry.keptUntil())
                                : entry);
        forget(nowNanos);
    }

    /** Returns the number of ids kept. */
    public int size() {
        return mEntries.size();
    }

    private boolean isBelowMark(RequestId request) {
        Long mark = mMarks.get(request.origin());
        return mark != null && request.sequence() <= mark;
    }

    private boolean isFull(RequestId request) {
        return mEntries.size() >= mMaxIds
                || mMarks.size() >= mMaxOrigins && !mMarks.containsKey(request.origin());
    }

    private void keep(RequestId request, State state, long now) {
        mMarks.putIfAbsent(request.origin(), Long.MIN_VALUE);
        mEntries.put(request, new Entry(state, now + mRetention));
    }

    /** Forgets in order of arrival; what still runs is kept for another round. */
    private void forget(long now) {
        while (!mEntries.isEmpty()) {
            Map.Entry<RequestId, Entry> first = mEntries.entrySet().iterator().next();
            if (first.getValue().keptUntil() > now) {
                return;
            }
            RequestId request = first.getKey();
            mEntries.remove(request);
            if (first.getValue().state() == State.ACTIVE) {
                keep(request, State.ACTIVE, now);
            } else {
                mMarks.merge(request.origin(), request.sequence(), Math::max);
            }
        }
    }
}
