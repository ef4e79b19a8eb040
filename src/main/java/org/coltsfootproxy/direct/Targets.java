package org.coltsfootproxy.direct;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Metric;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.base.SoftwareVersion;
import org.coltsfootproxy.base.TargetId;
import org.coltsfootproxy.base.TrafficClass;
import org.coltsfootproxy.config.ConfigView;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.message.ListedTarget;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.LogField;
import org.coltsfootproxy.work.WorkEstimate;

/**
 * Holds the targets that the platform lists and chooses among them.
 *
 * <p>Targets run calls in order of arrival, so a request that is queued there waits for all calls
 * before it. An online request therefore prefers a target with a free slot, then one where a batch
 * item can be preempted, then the one with the shortest queue. A batch item is sent only to a
 * target with a free slot. No slots are reserved for online requests, because preemption takes only
 * a few milliseconds.
 */
public final class Targets {
    /** Fraction of a target's slots that items near their deadline may keep while requests wait. */
    private static final double MAX_KEPT_FRACTION = 0.25;

    private final DataCentre mLocalDataCentre;
    private final RandomGenerator mRandom;
    private final Map<TargetId, Target> mById = new HashMap<>();
    private Map<ServiceId, List<Target>> mByService = Map.of();
    private FleetMessage.Listing mListing = new FleetMessage.Listing(0, List.of(), List.of());
    private final Set<Target> mChangedTargets = new LinkedHashSet<>();
    private final LeavingTargets mLeaving = LeavingTargets.create();
    private final ColdLimits mColdLimits = new ColdLimits();
    private ConfigView mConfig = ConfigView.empty();
    private final UsableDataCentres mUsable = new UsableDataCentres();
    private final WorkRouting mWork = new WorkRouting();

    private Targets(DataCentre localDataCentre, RandomGenerator random) {
        mLocalDataCentre = checkNotNull(localDataCentre, "local data centre is missing");
        mRandom = checkNotNull(random, "random");
    }

    /** Returns an instance without targets. */
    public static Targets create(DataCentre localDataCentre, RandomGenerator random) {
        return new Targets(localDataCentre, random);
    }

    /** Returns the target list that is in force. */
    public FleetMessage.Listing listing() {
        return mListing;
    }

    /**
     * Replaces the target list in force and returns true; returns false if {@code listing} arrived
     * late, because its number is not above that of the list in force.
     */
    public boolean update(FleetMessage.Listing listing, Effects out) {
        if (listing.number() <= mListing.number()) {
            return false;
        }
        mListing = listing;
        Set<TargetId> listed = new HashSet<>();
        Map<ServiceId, List<Target>> byService = new HashMap<>();
        for (ListedTarget entry : listing.targets()) {
            boolean wasCold = isListedCold(entry.id());
            Target target = mById.computeIfAbsent(entry.id(), id -> new Target(entry, mColdLimits));
            target.listed(entry);
            if (!wasCold && isListedCold(entry.id())) {
                logCold(target, entry.coldMillis(), "list", out);
            }
            listed.add(entry.id());
            byService.computeIfAbsent(entry.service(), s -> new ArrayList<>()).add(target);
        }
        mById.keySet().retainAll(listed);
        mLeaving.listed(listing.targets());
        mColdLimits.listed(listed);
        mByService = byService;
        out.measure(
                Metric.COLD_TARGETS, "", "", listed.stream().filter(this::isListedCold).count());
        out.log(
                EventCode.TARGETS_LISTED,
                LogField.of("listing", listing.number()),
                LogField.of("targets", listing.targets().size()),
                LogField.of(
                        "leaving",
                        listing.targets().stream().filter(ListedTarget::leaving).count()));
        return true;
    }

    /**
     * Applies the configuration of this host. It must be called before each step that may send
     * something, since a confirmation ends with time.
     *
     * @param isConfirmed whether the configuration is confirmed as current now; if not, no target
     *     gets new work
     */
    public void configure(ConfigView view, boolean isConfirmed, long nowNanos, Effects out) {
        mUsable.update(view, isConfirmed, out);
        if (view != mConfig) {
            mConfig = view;
            mColdLimits.configure(view, nowNanos);
            mWork.configure(view);
        }
    }

    /** Returns whether this host may send something at all. */
    boolean isConfirmed() {
        return mUsable.isConfirmed();
    }

    /** Returns whether a service has targets, all of them in evacuated data centres. */
    boolean isEvacuated(ServiceId service) {
        List<Target> targets = mByService.getOrDefault(service, List.of());
        return !targets.isEmpty() && targets.stream().allMatch(mUsable::isEvacuated);
    }

    /** Notes that a call from this host has started. */
    void callStarted(Target target, TrafficClass type, long nowNanos) {
        mChangedTargets.add(target);
        target.callStarted(type, nowNanos);
    }

    /** Notes that a call from this host has ended, with or without success. */
    void callEnded(Target target, TrafficClass type) {
        mChangedTargets.add(target);
        target.callEnded(type);
    }

    /** Notes that a batch item of this host keeps its slot from now on, or no longer does. */
    void setKept(Target target, boolean isKept) {
        mChangedTargets.add(target);
        target.addKept(isKept ? 1 : -1);
    }

    /** Returns whether calls of this host have started or ended, or slots are kept or released. */
    boolean hasChangedUses() {
        return !mChangedTargets.isEmpty();
    }

    /** Returns the calls of this host at targets where they have changed since the last call. */
    List<FleetMessage.TargetUse> takeChangedUses(long nowNanos) {
        List<FleetMessage.TargetUse> uses =
                mChangedTargets.stream().map(target -> target.takeUse(nowNanos)).toList();
        mChangedTargets.clear();
        return uses;
    }

    /** Returns the calls of this host at all targets that it uses or has used just now. */
    List<FleetMessage.TargetUse> takeAllUses(long nowNanos) {
        mChangedTargets.clear();
        return mById.values().stream()
                .map(target -> target.takeUse(nowNanos))
                .filter(use -> use.online() + use.batch() + use.started() > 0)
                .toList();
    }

    /** Returns what the services' limits for cold targets allow this host. */
    ColdLimits coldLimits() {
        return mColdLimits;
    }

    /** Notes that this host starts. */
    public void started(long nowNanos) {
        mColdLimits.started(nowNanos);
    }

    /** Returns what is known of the work at targets, and by what they are ranked. */
    public WorkRouting work() {
        return mWork;
    }

    /** Returns whether the targets of a service are ranked by expected work. */
    boolean ranksByWork(ServiceId service) {
        return mWork.ranksByWork(service);
    }

    /** Applies the load that a target reports to this host. */
    void updateLoad(Target target, TargetLoad load, long nowNanos) {
        target.updateLoad(load, nowNanos);
        if (mWork.told(target, load.speed(), nowNanos)) {
            mChangedTargets.add(target);
        }
    }

    /** Applies what another host reports of the work at a target. */
    void workReported(HostId host, FleetMessage.TargetUse use, long nowNanos) {
        Target target = mById.get(use.target());
        if (target != null) {
            target.work().reported(host, use, nowNanos);
            if (use.speedPercent() > 0) {
                mWork.tellsSpeed(target.listed().service());
            }
        }
    }

    /** Returns the targets that have said that they are leaving. */
    LeavingTargets leaving() {
        return mLeaving;
    }

    /** Notes that a target's answer to this host said that it is leaving. */
    void saidLeaving(Target target, long nowNanos, Effects out) {
        if (mLeaving.heard(target.listed(), nowNanos)) {
            out.log(
                    EventCode.TARGET_LEAVING,
                    LogField.of("target", target.listed().id()),
                    LogField.of("address", target.listed().address()),
                    LogField.of("listing", mListing.number()));
        }
    }

    /**
     * Notes the limit that an answer of a target names, if any.
     *
     * @param sentAt when the answer's call was sent
     */
    void limitNamed(
            Target target, OptionalDouble perSecond, long sentAt, long nowNanos, Effects out) {
        OptionalDouble before = target.rateLimit().named();
        target.limitNamed(perSecond, sentAt, nowNanos);
        OptionalDouble after = target.rateLimit().named();
        if (perSecond.isPresent()) {
            mChangedTargets.add(target);
        }
        if (!after.equals(before)) {
            out.log(
                    EventCode.TARGET_LIMITED,
                    LogField.of("target", target.listed().id()),
                    LogField.of("requestsPerSecond", text(after)),
                    LogField.of("before", text(before)),
                    LogField.of("online", target.online()),
                    LogField.of("batch", target.batch()));
        }
    }

    /** Notes that an answer of a target says how long it is cold. */
    void coldNamed(Target target, long coldMillis, long nowNanos, Effects out) {
        if (target.rateLimit().cold().named(coldMillis, nowNanos)) {
            logCold(target, coldMillis, "answer", out);
        }
    }

    private boolean isListedCold(TargetId id) {
        return byId(id).filter(target -> target.listed().coldMillis() > 0).isPresent();
    }

    private static void logCold(Target target, long millis, String source, Effects out) {
        out.log(
                EventCode.TARGET_COLD,
                LogField.of("target", target.listed().id()),
                LogField.of("coldMillis", millis),
                LogField.of("source", source));
    }

    private static String text(OptionalDouble requestsPerSecond) {
        return requestsPerSecond.isPresent() ? "" + requestsPerSecond.getAsDouble() : "none";
    }

    Optional<Target> byId(TargetId id) {
        return Optional.ofNullable(mById.get(id));
    }

    /** Returns the target with an id; null if none is listed. */
    Target find(TargetId id) {
        return mById.get(id);
    }

    Stream<Target> all() {
        return mById.values().stream();
    }

    /** Returns the targets of a service that accept new work and may be sent it by this host. */
    Stream<Target> active(ServiceId service) {
        return mByService.getOrDefault(service, List.of()).stream().filter(this::isActive);
    }

    private boolean isActive(Target target) {
        return mUsable.isUsable(target)
                && !target.listed().leaving()
                && !mLeaving.contains(target.listed());
    }

    /** Returns whether a target of a version accepts new work of a service. */
    boolean serves(ServiceId service, SoftwareVersion version) {
        return active(service).anyMatch(target -> target.listed().version().equals(version));
    }

    /**
     * Returns whether a target that accepts new work can resume a stream, or no target accepts any
     * at the moment.
     *
     * @param version version that has begun the stream; empty if unknown, which no target can
     *     resume, as the only version now need not be the one that began it
     * @param lastEvent last event of the stream; empty if it has none, so that any target can begin
     *     it
     * @param allowed whether the stream may reach a target
     */
    boolean canResume(
            ServiceId service,
            Optional<SoftwareVersion> version,
            Optional<String> lastEvent,
            Predicate<Target> allowed) {
        List<SoftwareVersion> versions =
                active(service)
                        .filter(allowed)
                        .map(target -> target.listed().version())
                        .distinct()
                        .toList();
        return lastEvent.isEmpty()
                || versions.isEmpty()
                || version.filter(versions::contains).isPresent();
    }

    /**
     * Returns the target of a service that is expected to serve an online request soonest. At equal
     * load, a target in the local data centre is preferred.
     *
     * @param allowed whether the request may be sent to a target
     */
    Optional<Target> chooseForOnline(ServiceId service, Predicate<Target> allowed, long nowNanos) {
        List<Target> candidates =
                active(service)
                        .filter(allowed)
                        .filter(target -> target.rateLimit().allowedCalls(nowNanos) > 0)
                        .toList();
        List<Target> healthy = candidates.stream().filter(t -> !t.isAvoided(nowNanos)).toList();
        return healthy.isEmpty()
                ? candidates.stream().min(Comparator.comparingLong(Target::avoidUntil))
                : leastLoaded(healthy, target -> CallCountRanking.load(target, nowNanos));
    }

    /**
     * Returns the target of a service that is expected to serve an online request soonest, by the
     * ranking of the service.
     *
     * @param allowed whether the request may be sent to a target
     */
    Optional<Target> chooseForOnline(
            ServiceId service, Predicate<Target> allowed, WorkEstimate estimate, long nowNanos) {
        return ranksByWork(service)
                ? leastCost(service, allowed, estimate, nowNanos)
                : chooseForOnline(service, allowed, nowNanos);
    }

    /** A loop without intermediate lists, since each request of an entry goes over all targets. */
    private Optional<Target> leastCost(
            ServiceId service, Predicate<Target> allowed, WorkEstimate estimate, long nowNanos) {
        TargetRanking ranking = mWork.ranking(service);
        List<Target> targets = mByService.getOrDefault(service, List.of());
        Target best = null;
        double leastCost = Double.MAX_VALUE;
        Target firstAvoided = null;
        int first = targets.isEmpty() ? 0 : mRandom.nextInt(targets.size());
        for (int i = 0; i < targets.size(); i++) {
            Target target = targets.get((first + i) % targets.size());
            if (!isActive(target)
                    || !allowed.test(target)
                    || target.rateLimit().allowedCalls(nowNanos) <= 0) {
                continue;
            }
            if (target.isAvoided(nowNanos)) {
                boolean isFirst =
                        firstAvoided == null || target.avoidUntil() < firstAvoided.avoidUntil();
                firstAvoided = isFirst ? target : firstAvoided;
                continue;
            }
            boolean isLocal = target.listed().dataCentre().equals(mLocalDataCentre);
            double cost =
                    ranking.cost(target, estimate, nowNanos) + (isLocal ? 0 : ranking.remoteCost());
            if (cost < leastCost) {
                best = target;
                leastCost = cost;
            }
        }
        return Optional.ofNullable(best == null ? firstAvoided : best);
    }

    /**
     * Returns the time until the limit of some target of a service allows an online request, in
     * nanoseconds; empty if there is no target to which it may be sent.
     */
    OptionalLong limitWaitNanos(ServiceId service, Predicate<Target> allowed, long nowNanos) {
        return active(service)
                .filter(allowed)
                .filter(target -> target.rateLimit().cold().hasQuota(nowNanos))
                .mapToLong(target -> target.rateLimit().waitNanos(nowNanos))
                .min();
    }

    /** An item takes one call for a long time, so it goes where calls are scarce and slots free. */
    private static double batchLoad(Target target, long nowNanos) {
        boolean isLimited = target.rateLimit().perSecond().isPresent();
        return target.inFlight(nowNanos) / (double) target.slots() - (isLimited ? 1 : 0);
    }

    /**
     * Returns the least loaded target of a service with a free slot for a batch item of this host.
     *
     * @param allowed whether the item may be sent to a target
     * @param workers number of hosts that run items; all of them see the same free slots and share
     *     them
     */
    Optional<Target> chooseForBatch(
            ServiceId service, Predicate<Target> allowed, int workers, long nowNanos) {
        if (freeBatchSlots(service, 0, nowNanos) <= 0) {
            return Optional.empty();
        }
        List<Target> candidates =
                active(service)
                        .filter(allowed)
                        .filter(target -> hasShareLeft(target, workers, nowNanos))
                        .toList();
        return candidates.isEmpty()
                ? Optional.empty()
                : leastLoaded(candidates, target -> batchLoad(target, nowNanos));
    }

    /**
     * Returns the target that is expected to run an urgent batch item soonest; empty if urgent
     * items already keep their fraction of every target's slots. An urgent item can't wait for a
     * free slot.
     */
    Optional<Target> chooseForUrgent(ServiceId service, Predicate<Target> allowed, long nowNanos) {
        List<Target> candidates =
                active(service)
                        .filter(allowed)
                        .filter(target -> !target.isAvoided(nowNanos) && mayAddKept(target))
                        .filter(target -> target.rateLimit().allowedCalls(nowNanos) > 0)
                        .toList();
        return candidates.isEmpty()
                ? Optional.empty()
                : leastLoaded(candidates, target -> CallCountRanking.load(target, nowNanos));
    }

    /** Returns whether a further batch item may keep its slot at a target. */
    static boolean mayAddKept(Target target) {
        return target.batch() - target.preemptible() < MAX_KEPT_FRACTION * target.slots();
    }

    /** Returns whether this host has recently started less than its share of the free slots. */
    private static boolean hasShareLeft(Target target, int workers, long nowNanos) {
        int freeSlots = freeBatchSlots(target, nowNanos);
        int started = target.recentBatchStarts(nowNanos);
        return freeSlots > 0
                && target.rateLimit().allowedCalls(nowNanos) > 0
                && started * workers < freeSlots + started;
    }

    /**
     * Returns the number of slots of a service that are free for batch items.
     *
     * <p>Some slots stay free for online requests, so that not each of them has to preempt an item:
     * as many as the standard deviation of the number of online requests in flight, if these arrive
     * independently of each other.
     *
     * @param reserved number of slots to leave free if that is more
     */
    int freeBatchSlots(ServiceId service, int reserved, long nowNanos) {
        int free = active(service).mapToInt(target -> freeBatchSlots(target, nowNanos)).sum();
        return free - Math.max(reserved, (int) Math.ceil(Math.sqrt(online(service))));
    }

    /** Returns the number of online requests in flight at the targets of a service. */
    int online(ServiceId service) {
        return active(service).mapToInt(Target::online).sum();
    }

    /** Returns the number of slots of a target that are free for batch items. */
    private static int freeBatchSlots(Target target, long nowNanos) {
        int freeSlots = target.slots() - target.inFlight(nowNanos);
        int free = Math.min(freeSlots, target.rateLimit().sharedAllowedCalls(nowNanos));
        return target.isAvoided(nowNanos) ? 0 : Math.max(0, free);
    }

    private Optional<Target> leastLoaded(List<Target> targets, ToDoubleFunction<Target> loadOf) {
        Target best = null;
        double leastLoad = Double.MAX_VALUE;
        int first = mRandom.nextInt(targets.size());
        for (int i = 0; i < targets.size(); i++) {
            Target target = targets.get((first + i) % targets.size());
            boolean isLocal = target.listed().dataCentre().equals(mLocalDataCentre);
            double load =
                    loadOf.applyAsDouble(target) + (isLocal ? 0 : CallCountRanking.REMOTE_LOAD);
            if (load < leastLoad) {
                best = target;
                leastLoad = load;
            }
        }
        return Optional.ofNullable(best);
    }
}
