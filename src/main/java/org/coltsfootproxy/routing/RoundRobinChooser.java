package org.coltsfootproxy.routing;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.config.Service.ServiceTarget;

/** Chooses agents that are up and not draining in turn; the baseline for measurements. */
final class RoundRobinChooser implements AgentChooser {
    private final Map<HostId, Incarnation> mUp = new HashMap<>();
    private final Map<HostId, Boolean> mDraining = new HashMap<>();
    private List<HostId> mAgents = List.of();
    private int mNextIndex;

    @Override
    public void targets(Collection<ServiceTarget> targets) {
        mAgents =
                targets.stream()
                        .map(ServiceTarget::agent)
                        .distinct()
                        .sorted()
                        .collect(Collectors.toUnmodifiableList());
    }

    @Override
    public List<HostId> subset() {
        return mAgents;
    }

    @Override
    public void up(HostId agent, Incarnation incarnation) {
        mUp.put(agent, incarnation);
    }

    @Override
    public void down(HostId agent) {
        mUp.remove(agent);
        mDraining.remove(agent);
    }

    @Override
    public void report(AgentReport report, long nowNanos) {
        mDraining.put(report.agent(), report.draining());
    }

    @Override
    public Optional<HostId> choose(OptionalLong prefixHash, Set<HostId> excluded, long nowNanos) {
        int start = mNextIndex++;
        return IntStream.range(0, mAgents.size())
                .mapToObj(offset -> mAgents.get(Math.floorMod(start + offset, mAgents.size())))
                .filter(agent -> mUp.containsKey(agent) && !excluded.contains(agent))
                .filter(agent -> !mDraining.getOrDefault(agent, false))
                .findFirst();
    }

    @Override
    public Optional<Incarnation> incarnation(HostId agent) {
        return Optional.ofNullable(mUp.get(agent));
    }

    @Override
    public void sent(HostId agent, long nowNanos) {
        // Load does not affect the choice.
    }

    @Override
    public void ended(HostId agent, Outcome outcome, long nowNanos) {
        // Outcomes do not affect the choice.
    }

    @Override
    public boolean isEjected(HostId agent, long nowNanos) {
        return false;
    }
}
