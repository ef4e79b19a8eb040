package org.coltsfootproxy.routing;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.RendezvousHash;
import org.coltsfootproxy.config.Service.ServiceTarget;

/** Chooses by data centre, prefix affinity and load among few candidates of a bounded subset. */
final class LeastLoadedChooser implements AgentChooser {
    private static final double SATURATED = 1.0;

    private record Ranked(Candidate candidate, long rank) {}

    private final HostId mEntry;
    private final DataCentre mOwn;
    private final ChooserSettings mSettings;
    private final RandomGenerator mRandom;
    private final Map<HostId, Candidate> mCandidates = new HashMap<>();
    private List<HostId> mSubset = List.of();

    private LeastLoadedChooser(
            HostId entry, DataCentre own, ChooserSettings settings, RandomGenerator random) {
        mEntry = checkNotNull(entry, "entry");
        mOwn = checkNotNull(own, "data centre");
        mSettings = checkNotNull(settings, "settings");
        mRandom = checkNotNull(random, "random source");
    }

    /** Returns a chooser that knows no targets yet. */
    static LeastLoadedChooser create(
            HostId entry, DataCentre own, ChooserSettings settings, RandomGenerator random) {
        return new LeastLoadedChooser(entry, own, settings, random);
    }

    @Override
    public void targets(Collection<ServiceTarget> targets) {
        Map<HostId, DataCentre> places =
                targets.stream()
                        .collect(
                                Collectors.toMap(
                                        ServiceTarget::agent,
                                        ServiceTarget::dataCentre,
                                        (first, second) -> first));
        mSubset = subsetOf(places);
        mCandidates.keySet().retainAll(mSubset);
        mSubset.forEach(
                agent ->
                        mCandidates
                                .computeIfAbsent(agent, id -> new Candidate(id, places.get(id)))
                                .move(places.get(agent)));
    }

    /** Half of the subset at least is from this data centre if it has that many. */
    private List<HostId> subsetOf(Map<HostId, DataCentre> places) {
        List<HostId> ranked = RendezvousHash.rank(mEntry.value(), places.keySet());
        Predicate<HostId> isNear = agent -> places.get(agent).equals(mOwn);
        int size = mSettings.subsetSize();
        long far = ranked.stream().filter(isNear.negate()).count();
        long near = Math.max(size - size / 4, size - far);
        return Stream.concat(
                        ranked.stream().filter(isNear).limit(near),
                        ranked.stream().filter(isNear.negate()))
                .limit(size)
                .collect(Collectors.toUnmodifiableList());
    }

    @Override
    public List<HostId> subset() {
        return mSubset;
    }

    @Override
    public void up(HostId agent, Incarnation incarnation) {
        with(agent).ifPresent(candidate -> candidate.up(incarnation));
    }

    @Override
    public void down(HostId agent) {
        with(agent).ifPresent(Candidate::down);
    }

    @Override
    public void report(AgentReport report, long nowNanos) {
        with(report.agent()).ifPresent(candidate -> candidate.report(report, nowNanos));
    }

    private Optional<Candidate> with(HostId agent) {
        return Optional.ofNullable(mCandidates.get(agent));
    }

    @Override
    public Optional<HostId> choose(OptionalLong prefixHash, Set<HostId> excluded, long now) {
        List<Candidate> able =
                mSubset.stream()
                        .map(mCandidates::get)
                        .filter(c -> c.isUp() && !c.isDraining())
                        .filter(c -> !excluded.contains(c.agent()))
                        .collect(Collectors.toList());
        Optional<Candidate> probe = able.stream().filter(c -> c.wantsProbe(now)).findFirst();
        if (probe.isPresent()) {
            probe.get().probe();
            return probe.map(Candidate::agent);
        }
        List<Candidate> sound =
                able.stream().filter(c -> !c.isSetAside(now)).collect(Collectors.toList());
        return pick(sound.isEmpty() ? able : sound, prefixHash, now).map(Candidate::agent);
    }

    /** Own data centre first; others only while the best here is saturated. */
    private Optional<Candidate> pick(List<Candidate> from, OptionalLong prefixHash, long now) {
        Map<Boolean, List<Candidate>> byPlace =
                from.stream().collect(Collectors.partitioningBy(c -> c.dataCentre().equals(mOwn)));
        Optional<Candidate> near = best(byPlace.get(true), prefixHash, now);
        if (near.isPresent() && load(near.get(), now) < SATURATED) {
            return near;
        }
        Optional<Candidate> far = best(byPlace.get(false), prefixHash, now);
        return Stream.concat(near.stream(), far.stream())
                .min(Comparator.comparingDouble(c -> load(c, now)));
    }

    private Optional<Candidate> best(List<Candidate> from, OptionalLong prefixHash, long now) {
        Comparator<Candidate> byLoad = Comparator.comparingDouble(c -> load(c, now));
        Optional<Candidate> least = sample(from).stream().min(byLoad);
        if (least.isEmpty() || prefixHash.isEmpty() || mSettings.affinityCandidates() == 0) {
            return least;
        }
        double most = load(least.get(), now) + mSettings.affinitySlack();
        return affine(from, prefixHash.getAsLong())
                .filter(c -> load(c, now) <= most && load(c, now) < SATURATED)
                .min(byLoad)
                .or(() -> least);
    }

    private Stream<Candidate> affine(List<Candidate> from, long prefixHash) {
        return from.stream()
                .map(candidate -> new Ranked(candidate, candidate.affinity(prefixHash)))
                .sorted(Comparator.comparingLong(Ranked::rank).reversed())
                .limit(mSettings.affinityCandidates())
                .map(Ranked::candidate);
    }

    private Collection<Candidate> sample(List<Candidate> from) {
        if (from.size() <= mSettings.candidates()) {
            return from;
        }
        Set<Candidate> chosen = new LinkedHashSet<>();
        while (chosen.size() < mSettings.candidates()) {
            chosen.add(from.get(mRandom.nextInt(from.size())));
        }
        return chosen;
    }

    private double load(Candidate candidate, long now) {
        return candidate.load(now, mSettings.reportLifeNanos());
    }

    @Override
    public Optional<Incarnation> incarnation(HostId agent) {
        return with(agent).filter(Candidate::isUp).map(Candidate::incarnation);
    }

    @Override
    public void sent(HostId agent, long nowNanos) {
        with(agent).ifPresent(Candidate::sent);
    }

    @Override
    public void ended(HostId agent, Outcome outcome, long nowNanos) {
        with(agent)
                .filter(c -> c.ended(outcome, mSettings.failuresToSetAside()))
                .filter(c -> maySetAside(nowNanos))
                .ifPresent(
                        c ->
                                c.setAside(
                                        nowNanos,
                                        mSettings.setAsideNanos(),
                                        mSettings.maxSetAsideNanos()));
    }

    private boolean maySetAside(long now) {
        long aside = mCandidates.values().stream().filter(c -> c.isSetAside(now)).count();
        return aside + 1 <= mSettings.maxSetAsideShare() * mCandidates.size();
    }

    @Override
    public boolean isSetAside(HostId agent, long nowNanos) {
        return with(agent).filter(c -> c.isSetAside(nowNanos)).isPresent();
    }
}
