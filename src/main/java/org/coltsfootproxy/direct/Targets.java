package org.coltsfootproxy.direct;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.base.TargetId;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.message.ListedTarget;
import org.coltsfootproxy.node.Effects;

/** The targets that the platform lists, and the choice among them. */
public final class Targets {
    /** Load for each slot that makes up for a way to another data centre: one of eight slots. */
    private static final double DISTANCE_LOAD = 0.125;

    private final DataCentre mHome;
    private final RandomGenerator mRandom;
    private final Map<TargetId, Target> mById = new HashMap<>();
    private Map<ServiceId, List<Target>> mByService = Map.of();
    private FleetMessage.Listing mListing = new FleetMessage.Listing(0, List.of());

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
            byService
                    .computeIfAbsent(entry.service(), s -> new java.util.ArrayList<>())
                    .add(target);
        }
        mById.keySet().retainAll(listed);
        mByService = byService;
        out.log(EventCode.TARGETS_LISTED, describe(listing));
        return true;
    }

    private static String describe(FleetMessage.Listing listing) {
        long leaving = listing.targets().stream().filter(ListedTarget::leaving).count();
        return "number "
                + listing.number()
                + " targets "
                + listing.targets().size()
                + " leaving "
                + leaving;
    }

    /** Returns the targets of a service that take new work. */
    Stream<Target> staying(ServiceId service) {
        return mByService.getOrDefault(service, List.of()).stream()
                .filter(target -> !target.listed().leaving());
    }

    /** Returns the services that have targets. */
    Set<ServiceId> services() {
        return mByService.keySet();
    }

    /**
     * Returns the least loaded target of a service, the nearer one of two alike.
     *
     * @param tried targets that had the request before and don't get it again
     */
    Optional<Target> choose(ServiceId service, Set<TargetId> tried, long nowNanos) {
        List<Target> able =
                staying(service).filter(target -> !tried.contains(target.listed().id())).toList();
        List<Target> sound = able.stream().filter(t -> !t.isAvoided(nowNanos)).toList();
        return sound.isEmpty()
                ? able.stream().min(Comparator.comparingLong(Target::avoidUntil))
                : leastLoaded(sound, nowNanos);
    }

    private Optional<Target> leastLoaded(List<Target> targets, long nowNanos) {
        Target best = null;
        double least = Double.MAX_VALUE;
        int first = mRandom.nextInt(targets.size());
        for (int i = 0; i < targets.size(); i++) {
            Target target = targets.get((first + i) % targets.size());
            boolean isNear = target.listed().dataCentre().equals(mHome);
            double load = target.load(nowNanos) + (isNear ? 0 : DISTANCE_LOAD);
            if (load < least) {
                best = target;
                least = load;
            }
        }
        return Optional.ofNullable(best);
    }
}
