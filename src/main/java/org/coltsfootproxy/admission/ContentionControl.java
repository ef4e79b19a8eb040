package org.coltsfootproxy.admission;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.ServiceId;

/**
 * Decides at one entry which requests are admitted while targets are contended, and when a refused
 * one may return.
 *
 * <p>Single-threaded and deterministic. Times are nanoseconds of the host's monotonic clock.
 */
public final class ContentionControl {
    /** Fraction of how often all requests are admitted that an organisation, rank or kind gets. */
    static final double MIN_GROUP_SHARE = 0.25;

    /** Fraction of how often all requests are admitted that a size of requests gets. */
    static final double MIN_SIZE_SHARE = 0.5;

    /** Fraction of the capacity that may be reserved for returns; the rest is for new requests. */
    static final double MAX_RESERVED_FRACTION = 0.5;

    /** Fraction of the remaining time that is the longest time to return. */
    private static final double MAX_RETURN_FRACTION = 1 / 3.0;

    /** Shortest time to return. */
    static final long MIN_RETURN_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /** Time for which a rank counts as in use after its last request. */
    private static final long RANK_IN_USE_NANOS = TimeUnit.SECONDS.toNanos(3);

    /** Maximum number of pairs of a service and a rank; further ones count as not in use. */
    private static final int MAX_RANKS = 1_024;

    private final ReceivedShares mShares;
    private final MinimumShares mMinimums = new MinimumShares();
    private final ReturnSchedule mReturns = new ReturnSchedule();
    private final Map<Rank, Long> mRankSeenAt = new HashMap<>();

    /** A rank of requests for a service. */
    private record Rank(ServiceId service, int rank) {}

    /** A class of body sizes: each is at most twice as large as the one before. */
    private record Size(int log2) {}

    /**
     * A request to decide on.
     *
     * @param hash hash of the content, by which a return is recognised
     * @param weight share of the organisation relative to others, above 0
     * @param rank 0 is the most urgent
     * @param kind kind of the request, any value type
     * @param bytes size of the body
     * @param goalNanos time in which the caller expects the first output; 0 if not stated
     * @param remainingNanos time until the deadline
     * @param isKnownReturn whether another entry has reserved capacity for its return
     */
    public record Request(
            long hash,
            OrganisationId organisation,
            double weight,
            ServiceId service,
            int rank,
            Object kind,
            long bytes,
            long goalNanos,
            long remainingNanos,
            boolean isKnownReturn) {}

    /**
     * The state of the targets.
     *
     * @param waitNanos expected time until a slot is free
     * @param runNanos usual time of a run
     * @param runsPerNano capacity of all targets of the service, in runs per nanosecond
     * @param entries number of entries that share the capacity
     */
    public record Load(double waitNanos, double runNanos, double runsPerNano, int entries) {}

    /**
     * A decision.
     *
     * @param returnNanos time after which the caller of a refused request may return
     * @param isReserved whether capacity is reserved for the return
     * @param maxWaitNanos longest expected wait at which the request would have been admitted
     */
    public record Outcome(
            ContentionVerdict verdict,
            long returnNanos,
            boolean isReserved,
            double shareRatio,
            double maxWaitNanos,
            double reservedNanos) {}

    private ContentionControl(ReceivedShares shares) {
        mShares = checkNotNull(shares, "shares");
    }

    /** Returns an instance that reads what organisations have received from {@code shares}. */
    public static ContentionControl create(ReceivedShares shares) {
        return new ContentionControl(shares);
    }

    /** Decides on a request, and reserves capacity for its return if it is refused. */
    public Outcome decide(Request request, Load load, long nowNanos) {
        noteRank(request, nowNanos);
        boolean hasReservation = mReturns.claim(request.hash(), nowNanos) | request.isKnownReturn();
        double ratio = mShares.ratio(request.organisation(), request.weight(), nowNanos);
        // Reservations don't displace organisations below their share: they hold them themselves.
        boolean isDisplaced = load.waitNanos() > 0 && ratio > 1;
        double reserved = isDisplaced ? reservedNanos(load, nowNanos) : 0;
        var contender =
                new ContentionPolicy.Contender(
                        moreUrgentRanks(request, nowNanos),
                        ratio,
                        load.waitNanos(),
                        reserved,
                        request.goalNanos(),
                        request.remainingNanos(),
                        load.runNanos(),
                        hasReservation,
                        isBelowMinimum(request, nowNanos));
        ContentionVerdict verdict = ContentionPolicy.decide(contender);
        count(request, verdict.isAdmitted(), nowNanos);
        double maxWait = contender.maxWaitNanos();
        if (verdict.isAdmitted()) {
            return new Outcome(verdict, 0, false, ratio, maxWait, reserved);
        }
        long latest = nowNanos + (long) (request.remainingNanos() * MAX_RETURN_FRACTION);
        long earliest = nowNanos + Math.max(MIN_RETURN_NANOS, (long) load.waitNanos());
        OptionalLong at =
                verdict == ContentionVerdict.PAST_DEADLINE
                                || ratio >= ContentionPolicy.MAX_RESERVED_RATIO
                        ? OptionalLong.empty()
                        : mReturns.reserve(
                                request.hash(), earliest, latest, spacing(load), nowNanos);
        long returnAt = at.orElse(latest);
        return new Outcome(verdict, returnAt - nowNanos, at.isPresent(), ratio, maxWait, reserved);
    }

    private void noteRank(Request request, long nowNanos) {
        Rank rank = new Rank(request.service(), request.rank());
        if (mRankSeenAt.size() >= MAX_RANKS && !mRankSeenAt.containsKey(rank)) {
            mRankSeenAt.values().removeIf(at -> nowNanos - at >= RANK_IN_USE_NANOS);
        }
        if (mRankSeenAt.size() < MAX_RANKS) {
            mRankSeenAt.put(rank, nowNanos);
        }
    }

    private int moreUrgentRanks(Request request, long nowNanos) {
        int count = 0;
        for (Map.Entry<Rank, Long> entry : mRankSeenAt.entrySet()) {
            if (entry.getKey().rank() < request.rank()
                    && entry.getKey().service().equals(request.service())
                    && nowNanos - entry.getValue() < RANK_IN_USE_NANOS) {
                count++;
            }
        }
        return count;
    }

    /** Returns the time that targets need for the returns that are due within the wait. */
    private double reservedNanos(Load load, long nowNanos) {
        int due = mReturns.reservedUntil(nowNanos + (long) load.waitNanos(), nowNanos);
        return load.runsPerNano() > 0 ? due * load.entries() / load.runsPerNano() : 0;
    }

    private static long spacing(Load load) {
        double perNano = load.runsPerNano() * MAX_RESERVED_FRACTION / load.entries();
        return perNano > 0 ? (long) (1 / perNano) : 0;
    }

    private boolean isBelowMinimum(Request request, long nowNanos) {
        return mMinimums.isBelow(request.organisation(), MIN_GROUP_SHARE, nowNanos)
                || mMinimums.isBelow(rank(request), MIN_GROUP_SHARE, nowNanos)
                || mMinimums.isBelow(request.kind(), MIN_GROUP_SHARE, nowNanos)
                || mMinimums.isBelow(size(request), MIN_SIZE_SHARE, nowNanos);
    }

    private void count(Request request, boolean isAdmitted, long nowNanos) {
        mMinimums.decided(isAdmitted, nowNanos);
        mMinimums.decided(request.organisation(), isAdmitted, nowNanos);
        mMinimums.decided(rank(request), isAdmitted, nowNanos);
        mMinimums.decided(request.kind(), isAdmitted, nowNanos);
        mMinimums.decided(size(request), isAdmitted, nowNanos);
    }

    private static Rank rank(Request request) {
        return new Rank(request.service(), request.rank());
    }

    private static Size size(Request request) {
        return new Size(Long.SIZE - Long.numberOfLeadingZeros(request.bytes()));
    }
}
