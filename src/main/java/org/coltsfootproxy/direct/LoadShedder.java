package org.coltsfootproxy.direct;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import org.coltsfootproxy.admission.ContentionControl;
import org.coltsfootproxy.admission.ContentionMode;
import org.coltsfootproxy.admission.ReceivedShares;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.entry.Failure;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.node.Effects;

/**
 * Decides which online requests are refused at once because no target could start them in time.
 *
 * <p>Targets run requests in order of arrival, so each request that is sent to a full target delays
 * all later ones. A request that would start too late for its caller's goal is refused, and the
 * caller gets a retry time at which a slot is expected to be free. The retry times of callers are
 * spread over the slots, so that they don't retry together. A request that is retried after a
 * refusal is queued and not refused again, whichever entry it reaches; entries report to each other
 * what they refused.
 *
 * <p>For a service under the condition of {@link ContentionMode}, {@link ContentionControl} decides
 * instead: by rank, by what organisations have received, and by reservations for returns.
 */
final class LoadShedder {
    /**
     * Fraction of the goal that a request is assumed to hold its slot, until one has ended here.
     * Most services answer well within their goal; too high an estimate would refuse requests that
     * can be served.
     */
    private static final double INITIAL_HOLD_FRACTION = 0.2;

    /** Weight of the last request in the moving average of slot hold times. */
    private static final double LAST_SAMPLE_WEIGHT = 0.05;

    /** Fraction of the goal that a request may wait in the queue; the rest is for running it. */
    private static final double MAX_WAIT_FRACTION = 0.7;

    /** Fraction of the remaining time that is the longest retry-after. */
    private static final double MAX_RETRY_AFTER_FRACTION = 1 / 3.0;

    /** Shortest retry-after. */
    private static final long MIN_RETRY_AFTER_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /**
     * Shortest time from a reported refusal to a return at the reserved time, with its delivery.
     */
    private static final long MIN_KNOWN_RETURN_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /** How long a refused request is remembered: longer than the longest retry-after. */
    private static final long REFUSED_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(4);

    private static final int MAX_REFUSED = 20_000;

    private final Targets mTargets;
    private final Map<ServiceId, Double> mMeanHoldNanos = new HashMap<>();
    private final Map<ServiceId, Long> mNextSlotAt = new HashMap<>();
    private final LinkedHashMap<Long, Long> mRefused = new LinkedHashMap<>();
    private final List<Long> mUnreported = new ArrayList<>();
    private int mEntryCount = 1;

    private final ContentionMode mMode;
    private final ContentionControl mControl;
    private final ContentionLog mLog;

    private LoadShedder(Targets targets, ContentionMode mode, ReceivedShares shares) {
        mTargets = checkNotNull(targets, "targets");
        mMode = checkNotNull(mode, "mode");
        mControl = ContentionControl.create(shares);
        mLog = new ContentionLog(shares);
    }

    /**
     * Returns an instance that has seen no request.
     *
     * @param shares what organisations have received over all entries
     */
    static LoadShedder create(Targets targets, ContentionMode mode, ReceivedShares shares) {
        return new LoadShedder(targets, mode, shares);
    }

    /** Sets the number of entries of the fleet, this one included. */
    void entryCount(int entries) {
        mEntryCount = Math.max(1, entries);
    }

    /** Applies another entry's report of refused requests. */
    void handle(FleetMessage.RefusedRequests refused, long nowNanos) {
        refused.requests().forEach(request -> remember(request, nowNanos));
    }

    private void remember(long request, long nowNanos) {
        mRefused.put(request, nowNanos);
        Iterator<Long> oldest = mRefused.values().iterator();
        while (oldest.hasNext()) {
            boolean isOld = nowNanos - oldest.next() >= REFUSED_RETENTION_NANOS;
            if (!isOld && mRefused.size() <= MAX_REFUSED) {
                return;
            }
            oldest.remove();
        }
    }

    /** Adds the slot hold time of a completely answered request to the average. */
    void completed(DirectRequest request, long nowNanos) {
        if (request.hasFreeSlot()) {
            double held = nowNanos - request.sentAt();
            mMeanHoldNanos.merge(
                    request.service(),
                    held,
                    (old, last) -> old + LAST_SAMPLE_WEIGHT * (last - old));
        }
    }

    /**
     * Returns the failure of a request that is refused; empty if it is not.
     *
     * @param heldRequests number of requests for the service that wait here for targets' limits
     */
    Optional<Failure> refusal(
            DirectRequest request, long heldRequests, long nowNanos, Effects out) {
        if (mMode.isFair(mTargets.ranksByWork(request.service()))) {
            return contendedRefusal(request, heldRequests, nowNanos, out);
        }
        OptionalLong retryMillis = refusalRetryMillis(request, heldRequests, nowNanos);
        String detail = "no target of " + request.service() + " has a free slot in time";
        return retryMillis.isPresent()
                ? Optional.of(Failure.notRun(ErrorKind.OVERLOADED, detail, retryMillis.getAsLong()))
                : Optional.empty();
    }

    /** Decides by rank, by what organisations have received, and by reservations. */
    private Optional<Failure> contendedRefusal(
            DirectRequest request, long heldRequests, long nowNanos, Effects out) {
        ServiceId service = request.service();
        long goal = TimeUnit.MILLISECONDS.toNanos(request.route().policy().goalMillis());
        long remaining = request.deadline() - nowNanos;
        double hold =
                mMeanHoldNanos.getOrDefault(
                        service, INITIAL_HOLD_FRACTION * (goal > 0 ? goal : remaining));
        double wait = waitNanos(service, request::isInAllowedRegion, hold, heldRequests, nowNanos);
        Long refusedAt = mRefused.remove(request.contentHash());
        var contender =
                new ContentionControl.Request(
                        request.contentHash(),
                        request.organisation().id(),
                        request.organisation().weight(),
                        service,
                        request.route().rankOf(request.organisation()),
                        request.route().policy().kind(),
                        request.call().body().length,
                        goal,
                        remaining,
                        refusedAt != null && nowNanos - refusedAt >= MIN_KNOWN_RETURN_NANOS);
        var load = new ContentionControl.Load(wait, hold, callsPerNano(service, hold), mEntryCount);
        ContentionControl.Outcome outcome = mControl.decide(contender, load, nowNanos);
        mLog.decided(request, contender, load, outcome, nowNanos, out);
        if (outcome.verdict().isAdmitted()) {
            return Optional.empty();
        }
        if (outcome.isReserved()) {
            remember(request.contentHash(), nowNanos);
            mUnreported.add(request.contentHash());
        }
        return Optional.of(
                Failure.notRun(
                        ErrorKind.OVERLOADED,
                        "all slots of " + service + " are in use: " + outcome.verdict().reason(),
                        Math.max(1, TimeUnit.NANOSECONDS.toMillis(outcome.returnNanos()))));
    }

    /**
     * Returns the time in milliseconds after which the caller of a refused request should retry;
     * empty if the request is not refused.
     *
     * @param heldRequests number of requests for the service that wait here for targets' limits
     */
    private OptionalLong refusalRetryMillis(
            DirectRequest request, long heldRequests, long nowNanos) {
        ServiceId service = request.service();
        long goal = TimeUnit.MILLISECONDS.toNanos(request.route().policy().goalMillis());
        double hold = mMeanHoldNanos.getOrDefault(service, INITIAL_HOLD_FRACTION * goal);
        double wait = waitNanos(service, request::isInAllowedRegion, hold, heldRequests, nowNanos);
        if (goal == 0 || wait <= MAX_WAIT_FRACTION * goal) {
            return OptionalLong.empty();
        }
        long hash = request.contentHash();
        long remaining = request.deadline() - nowNanos;
        long maxRetryAfter = (long) (remaining * MAX_RETRY_AFTER_FRACTION);
        boolean hasTimeToRetry = maxRetryAfter > MIN_RETRY_AFTER_NANOS + goal;
        if (mRefused.remove(hash) != null || !hasTimeToRetry) {
            return OptionalLong.empty();
        }
        remember(hash, nowNanos);
        mUnreported.add(hash);
        long retryAfter =
                Math.min(maxRetryAfter, nextSlotAt(service, hold, wait, nowNanos) - nowNanos);
        return OptionalLong.of(Math.max(1, TimeUnit.NANOSECONDS.toMillis(retryAfter)));
    }

    /**
     * Returns the failure of a request that has been refused by all targets that its route allows.
     * Its retry is not refused again.
     */
    Failure refusedByTargets(DirectRequest request, String detail, long nowNanos) {
        ServiceId service = request.service();
        long goal = TimeUnit.MILLISECONDS.toNanos(request.route().policy().goalMillis());
        double hold = mMeanHoldNanos.getOrDefault(service, INITIAL_HOLD_FRACTION * goal);
        remember(request.contentHash(), nowNanos);
        mUnreported.add(request.contentHash());
        long retryAfter = nextSlotAt(service, hold, 0, nowNanos) - nowNanos;
        return Failure.notRun(
                ErrorKind.OVERLOADED, detail, TimeUnit.NANOSECONDS.toMillis(retryAfter));
    }

    /** Returns the queueing time, in nanoseconds, at the target with the shortest one. */
    private double waitNanos(
            ServiceId service,
            Predicate<Target> allowed,
            double hold,
            long heldRequests,
            long nowNanos) {
        return mTargets.active(service)
                .filter(allowed)
                .filter(target -> !target.isAvoided(nowNanos))
                .filter(target -> target.rateLimit().allowedCalls(nowNanos) > 0)
                .mapToDouble(target -> waitNanos(target, hold, nowNanos))
                .min()
                .orElseGet(() -> limitWaitNanos(service, heldRequests, nowNanos));
    }

    /**
     * Returns the time until the limits of the targets allow another request, in nanoseconds, if
     * none allows one now: those that wait here go first, and as many at each other entry.
     */
    private double limitWaitNanos(ServiceId service, long heldRequests, long nowNanos) {
        double perNano =
                mTargets.active(service)
                                .map(target -> target.rateLimit().perSecond())
                                .filter(OptionalDouble::isPresent)
                                .mapToDouble(OptionalDouble::getAsDouble)
                                .sum()
                        / TimeUnit.SECONDS.toNanos(1);
        double ownPerNano =
                mTargets.active(service)
                        .mapToDouble(target -> target.rateLimit().cold().ownPerNano(nowNanos))
                        .sum();
        long next = mTargets.limitWaitNanos(service, target -> true, nowNanos).orElse(0);
        double forOwn = ownPerNano > 0 ? heldRequests / ownPerNano : 0;
        return next + Math.max(forOwn, perNano > 0 ? heldRequests * mEntryCount / perNano : 0);
    }

    private static double waitNanos(Target target, double hold, long nowNanos) {
        int ahead = target.inFlight(nowNanos) - target.preemptible() - target.slots() + 1;
        return Math.max(0, ahead) * hold / target.slots();
    }

    /** Reserves the next time at which a slot of this entry's share is expected to become free. */
    private long nextSlotAt(ServiceId service, double hold, double wait, long nowNanos) {
        double perNano = callsPerNano(service, hold);
        long spacing = perNano > 0 ? (long) (mEntryCount / perNano) : 0;
        long earliest = nowNanos + MIN_RETRY_AFTER_NANOS + (long) wait;
        long slotAt = Math.max(earliest, mNextSlotAt.getOrDefault(service, earliest) + spacing);
        mNextSlotAt.put(service, slotAt);
        return slotAt;
    }

    private double callsPerNano(ServiceId service, double hold) {
        return mTargets.active(service).mapToDouble(target -> callsPerNano(target, hold)).sum();
    }

    /** Returns the rate at which a target can take calls, by its slots and by its limit. */
    private static double callsPerNano(Target target, double hold) {
        double bySlots = target.slots() / Math.max(1, hold);
        OptionalDouble perSecond = target.rateLimit().perSecond();
        return perSecond.isPresent()
                ? Math.min(bySlots, perSecond.getAsDouble() / TimeUnit.SECONDS.toNanos(1))
                : bySlots;
    }

    /** Returns the requests refused here that other entries don't know of yet; empty if none. */
    Optional<FleetMessage.RefusedRequests> takeReport() {
        if (mUnreported.isEmpty()) {
            return Optional.empty();
        }
        var report = new FleetMessage.RefusedRequests(mUnreported);
        mUnreported.clear();
        return Optional.of(report);
    }

    boolean hasReport() {
        return !mUnreported.isEmpty();
    }
}
