package org.coltsfootproxy.direct;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.base.TargetId;
import org.coltsfootproxy.base.TrafficClass;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.message.ListedTarget;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.LogField;

/**
 * The targets that the platform lists, and the choice among them.
 *
 * <p>Targets run what comes first, so a request that has to wait there waits behind whatever came
 * before it. An online request therefore goes where a slot is free, next where a batch item can
 * make room, and only then where the queue is shortest. A batch item goes only where a slot is
 * free; none is reserved, as items make room within a few milliseconds.
 */
public final class Targets {
    /** Load for each slot that makes up for a way to another data centre: one of eight slots. */
    private static final double DISTANCE_LOAD = 0.125;

    /** Load above any target with a free slot, for one where a batch item can make room. */
    private static final double YIELDING_LOAD = 2;

    /** Load above any target where a batch item can make room, for one with only a queue. */
    private static final double QUEUEING_LOAD = 4;

    /** Part of a target's slots that items near their deadline may keep while requests wait. */
    private static final double KEPT_PART = 0.25;

    private final DataCentre mHome;
    private final RandomGenerator mRandom;
    private final Map<TargetId, Target> mById = new HashMap<>();
    private Map<ServiceId, List<Target>> mByService = Map.of();
    private FleetMessage.Listing mListing = new FleetMessage.Listing(0, List.of());
    private long mChanges;

    private Targets(DataCentre home, RandomGenerator random) {
        mHome = checkNotNull(home, "home data centre is missing");
        mRandom = checkNotNull(random, "random");
    }

    /** Returns an empty list. */
    public static Targets create(DataCentre home, RandomGenerator random) {
        return new Targets(home, random);
    }

    /** Returns the list that is in force. */
    public FleetMessage.Listing listing() {
        return mListing;
    }

    /** Takes a list; one of a lower number is late and ignored. Returns whether it was taken. */
    public boolean update(FleetMessage.Listing listing, Effects out) {
        if (listing.number() <= mListing.number()) {
            return false;
        }
        mListing = listing;
        Set<TargetId> listed = new HashSet<>();
        Map<ServiceId, List<Target>> byService = new HashMap<>();
        for (ListedTarget entry : listing.targets()) {
            Target target = mById.computeIfAbsent(entry.id(), id -> new Target(entry));
            target.listed(entry);
            listed.add(entry.id());
            byService.computeIfAbsent(entry.service(), s -> new ArrayList<>()).add(target);
        }
        mById.keySet().retainAll(listed);
        mByService = byService;
        out.log(
                EventCode.TARGETS_LISTED,
                LogField.of("listing", listing.number()),
                LogField.of("targets", listing.targets().size()),
                LogField.of(
                        "leaving",
                        listing.targets().stream().filter(ListedTarget::leaving).count()));
        return true;
    }

    /** Notes a call from this host. */
    void began(Target target, TrafficClass type) {
        mChanges++;
        target.began(type);
    }

    /** Notes that a call from this host is over, however it ended. */
    void ended(Target target, TrafficClass type) {
        mChanges++;
        target.ended(type);
    }

    /** Notes that a batch item of this host keeps its place from now on, or no longer does. */
    void kept(Target target, boolean isKept) {
        mChanges++;
        target.kept(isKept ? 1 : -1);
    }

    /** Returns how often a call from this host has begun or ended. */
    long changes() {
        return mChanges;
    }

    Optional<Target> byId(TargetId id) {
        return Optional.ofNullable(mById.get(id));
    }

    Stream<Target> all() {
        return mById.values().stream();
    }

    /** Returns the targets of a service that take new work. */
    Stream<Target> staying(ServiceId service) {
        return mByService.getOrDefault(service, List.of()).stream()
                .filter(target -> !target.listed().leaving());
    }

    /**
     * Returns the target of a service that serves an online request soonest, the nearer one of two
     * alike.
     *
     * @param tried targets that had the request before and don't get it again
     */
    Optional<Target> choose(ServiceId service, Set<TargetId> tried, long nowNanos) {
        List<Target> able =
                staying(service).filter(target -> !tried.contains(target.listed().id())).toList();
        List<Target> sound = able.stream().filter(t -> !t.isAvoided(nowNanos)).toList();
        return sound.isEmpty()
                ? able.stream().min(Comparator.comparingLong(Target::avoidUntil))
                : least(sound, target -> onlineLoad(target, nowNanos));
    }

    private static double onlineLoad(Target target, long nowNanos) {
        double slots = target.slots();
        int inFlight = target.inFlight(nowNanos);
        if (inFlight < slots) {
            return inFlight / slots;
        }
        int staying = inFlight - target.yielding();
        return staying < slots
                ? YIELDING_LOAD + staying / slots
                : QUEUEING_LOAD + (staying - slots) / slots;
    }

    /**
     * Returns the least loaded target of a service that has room for a batch item of this host.
     *
     * @param workers number of hosts that run items, which share the free slots that all of them
     *     see
     */
    Optional<Target> chooseForBatch(
            ServiceId service, Set<TargetId> tried, int workers, long nowNanos) {
        List<Target> able =
                staying(service)
                        .filter(target -> !tried.contains(target.listed().id()))
                        .filter(target -> hasBatchRoom(target, workers, nowNanos))
                        .toList();
        return able.isEmpty()
                ? Optional.empty()
                : least(able, t -> t.inFlight(nowNanos) / (double) t.slots());
    }

    /**
     * Returns the target that runs a batch item soonest which can't wait for a free slot; empty if
     * such items have their part of all targets.
     */
    Optional<Target> chooseForUrgent(ServiceId service, Set<TargetId> tried, long nowNanos) {
        List<Target> able =
                staying(service)
                        .filter(target -> !tried.contains(target.listed().id()))
                        .filter(target -> !target.isAvoided(nowNanos) && mayKeep(target))
                        .toList();
        return able.isEmpty()
                ? Optional.empty()
                : least(able, target -> onlineLoad(target, nowNanos));
    }

    /** Tells whether a further batch item may keep its place at a target. */
    static boolean mayKeep(Target target) {
        return target.batch() - target.yielding() < KEPT_PART * target.slots();
    }

    /** Tells whether this host has begun less than its share of what was free. */
    private static boolean hasBatchRoom(Target target, int workers, long nowNanos) {
        int room = batchRoom(target, nowNanos);
        int begun = target.batchBegunLately(nowNanos);
        return room > 0 && begun * workers < room + begun;
    }

    /** Returns how many further batch items a target has room for. */
    static int batchRoom(Target target, long nowNanos) {
        int free = target.slots() - target.inFlight(nowNanos);
        return target.isAvoided(nowNanos) ? 0 : Math.max(0, free);
    }

    private Optional<Target> least(List<Target> targets, ToDoubleFunction<Target> loadOf) {
        Target best = null;
        double least = Double.MAX_VALUE;
        int first = mRandom.nextInt(targets.size());
        for (int i = 0; i < targets.size(); i++) {
            Target target = targets.get((first + i) % targets.size());
            boolean isNear = target.listed().dataCentre().equals(mHome);
            double load = loadOf.applyAsDouble(target) + (isNear ? 0 : DISTANCE_LOAD);
            if (load < least) {
                best = target;
                least = load;
            }
        }
        return Optional.ofNullable(best);
    }
}
