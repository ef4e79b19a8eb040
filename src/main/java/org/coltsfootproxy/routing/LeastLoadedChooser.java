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

/**
 * Chooses by data centre, prefix affinity and load among candidates sampled from a bounded subset.
 *
 * <p>An agent whose ejection time is over gets one probe request before any other choice is made.
 * Ejected agents are chosen only if no other agent is eligible.
 */
final class LeastLoadedChooser implements AgentChooser {
    /** Load, as a share of the limit, from which an agent counts as saturated. */
    private static final double SATURATED_LOAD = 1.0;

    private record Ranked(Candidate candidate, long rank) {}

    private final HostId mEntry;
    private final DataCentre mLocalDataCentre;
    private final ChooserSettings mSettings;
    private final RandomGenerator mRandom;
    private final Map<HostId, Candidate> mCandidates = new HashMap<>();
    private List<HostId> mSubset = List.of();

    private LeastLoadedChooser(
            HostId entry,
            DataCentre localDataCentre,
            ChooserSettings settings,
            RandomGenerator random) {
        mEntry = checkNotNull(entry, "entry");
        mLocalDataCentre = checkNotNull(localDataCentre, "data centre");
        mSettings = checkNotNull(settings, "settings");
        mRandom = checkNotNull(random, "random source");
    }

    /** Returns a chooser without targets. */
    static LeastLoadedChooser create(
            HostId entry,
            DataCentre localDataCentre,
            ChooserSettings settings,
            RandomGenerator random) {
        return new LeastLoadedChooser(entry, localDataCentre, settings, random);
    }

    @Override
    public void targets(Collection<ServiceTarget> targets) {
        Map<HostId, DataCentre> dataCentres =
                targets.stream()
                        .collect(
                                Collectors.toMap(
                                        ServiceTarget::agent,
                                        ServiceTarget::dataCentre,
                                        (first, second) -> first));
        mSubset = subsetOf(dataCentres);
        mCandidates.keySet().retainAll(mSubset);
        mSubset.forEach(
                agent ->
                        mCandidates
                                .computeIfAbsent(
                                        agent, id -> new Candidate(id, dataCentres.get(id)))
                                .updateDataCentre(dataCentres.get(agent)));
    }

    /** Returns a subset with at least three quarters from this data centre if it has that many. */
    private List<HostId> subsetOf(Map<HostId, DataCentre> dataCentres) {
        List<HostId> ranked = RendezvousHash.rank(mEntry.value(), dataCentres.keySet());
        Predicate<HostId> isLocal = agent -> dataCentres.get(agent).equals(mLocalDataCentre);
        int size = mSettings.subsetSize();
        long remote = ranked.stream().filter(isLocal.negate()).count();
        long local = Math.max(size - size / 4, size - remote);
        return Stream.concat(
                        ranked.stream().filter(isLocal).limit(local),
                        ranked.stream().filter(isLocal.negate()))
                .limit(size)
                .collect(Collectors.toUnmodifiableList());
    }

    @Override
    public List<HostId> subset() {
        return mSubset;
    }

    @Override
    public void up(HostId agent, Incarnation incarnation) {
        find(agent).ifPresent(candidate -> candidate.up(incarnation));
    }

    @Override
    public void down(HostId agent) {
        find(agent).ifPresent(Candidate::down);
    }

    @Override
    public void report(AgentReport report, long nowNanos) {
        find(report.agent()).ifPresent(candidate -> candidate.report(report, nowNanos));
    }

    private Optional<Candidate> find(HostId agent) {
        return Optional.ofNullable(mCandidates.get(agent));
    }

    @Override
    public Optional<HostId> choose(OptionalLong prefixHash, Set<HostId> excluded, long now) {
        List<Candidate> eligible =
                mSubset.stream()
                        .map(mCandidates::get)
                        .filter(c -> c.isUp() && !c.isDraining())
                        .filter(c -> !excluded.contains(c.agent()))
                        .collect(Collectors.toList());
        Optional<Candidate> probe = eligible.stream().filter(c -> c.isDueForProbe(now)).findFirst();
        if (probe.isPresent()) {
            probe.get().startProbe();
            return probe.map(Candidate::agent);
        }
        List<Candidate> healthy =
                eligible.stream().filter(c -> !c.isEjected(now)).collect(Collectors.toList());
        return chooseByLocality(healthy.isEmpty() ? eligible : healthy, prefixHash, now)
                .map(Candidate::agent);
    }

    /** Prefers this data centre; considers others only if the best agent here is saturated. */
    private Optional<Candidate> chooseByLocality(
            List<Candidate> from, OptionalLong prefixHash, long now) {
        Map<Boolean, List<Candidate>> byLocality =
                from.stream()
                        .collect(
                                Collectors.partitioningBy(
                                        c -> c.dataCentre().equals(mLocalDataCentre)));
        Optional<Candidate> local = best(byLocality.get(true), prefixHash, now);
        if (local.isPresent() && load(local.get(), now) < SATURATED_LOAD) {
            return local;
        }
        Optional<Candidate> remote = best(byLocality.get(false), prefixHash, now);
        return Stream.concat(local.stream(), remote.stream())
                .min(Comparator.comparingDouble(c -> load(c, now)));
    }

    private Optional<Candidate> best(List<Candidate> from, OptionalLong prefixHash, long now) {
        Comparator<Candidate> byLoad = Comparator.comparingDouble(c -> load(c, now));
        Optional<Candidate> leastLoaded = sample(from).stream().min(byLoad);
        if (leastLoaded.isEmpty() || prefixHash.isEmpty() || mSettings.affinityCandidates() == 0) {
            return leastLoaded;
        }
        double maxLoad = load(leastLoaded.get(), now) + mSettings.affinitySlack();
        return preferredForPrefix(from, prefixHash.getAsLong())
                .filter(c -> load(c, now) <= maxLoad && load(c, now) < SATURATED_LOAD)
                .min(byLoad)
                .or(() -> leastLoaded);
    }

    private Stream<Candidate> preferredForPrefix(List<Candidate> from, long prefixHash) {
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
        return candidate.load(now, mSettings.maxReportAgeNanos());
    }

    @Override
    public Optional<Incarnation> incarnation(HostId agent) {
        return find(agent).filter(Candidate::isUp).map(Candidate::incarnation);
    }

    @Override
    public void sent(HostId agent, long nowNanos) {
        find(agent).ifPresent(Candidate::sent);
    }

    @Override
    public void ended(HostId agent, Outcome outcome, long nowNanos) {
        find(agent)
                .filter(c -> c.recordOutcome(outcome, mSettings.failuresToEject()))
                .filter(c -> mayEject(nowNanos))
                .ifPresent(
                        c ->
                                c.eject(
                                        nowNanos,
                                        mSettings.ejectionNanos(),
                                        mSettings.maxEjectionNanos()));
    }

    private boolean mayEject(long now) {
        long ejected = mCandidates.values().stream().filter(c -> c.isEjected(now)).count();
        return ejected + 1 <= mSettings.maxEjectedShare() * mCandidates.size();
    }

    @Override
    public boolean isEjected(HostId agent, long nowNanos) {
        return find(agent).filter(c -> c.isEjected(nowNanos)).isPresent();
    }
}
