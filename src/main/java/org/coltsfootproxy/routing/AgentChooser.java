package org.coltsfootproxy.routing;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.config.Service.ServiceTarget;

/**
 * Chooses the agent that each request to one service is sent to, at one entry.
 *
 * <p>Single-threaded and deterministic for a given random source. Times are nanoseconds of the
 * entry's monotonic clock.
 */
public interface AgentChooser {
    /**
     * Returns a chooser that decides by data centre, prefix affinity and load among a sample of
     * candidates.
     *
     * @param entry this entry's host, which determines its subset of agents
     */
    static AgentChooser leastLoaded(
            HostId entry,
            DataCentre localDataCentre,
            ChooserSettings settings,
            RandomGenerator random) {
        return LeastLoadedChooser.create(entry, localDataCentre, settings, random);
    }

    /** Returns a round-robin chooser, the baseline for measurements. */
    static AgentChooser roundRobin() {
        return new RoundRobinChooser();
    }

    /** Replaces the service's targets; agents that remain keep their state. */
    void targets(Collection<ServiceTarget> targets);

    /** Returns the agents that this entry keeps connections to, best first. */
    List<HostId> subset();

    /** Records that a connection to an agent is ready. */
    void up(HostId agent, Incarnation incarnation);

    /** Records that an agent is unreachable. */
    void down(HostId agent);

    /** Records an agent's report of its own load. */
    void report(AgentReport report, long nowNanos);

    /**
     * Chooses an agent for a request; the caller must then call {@link #sent}.
     *
     * @param prefixHash hash of the prompt's prefix, if the request has one
     * @param excluded agents that must not be chosen because the request was tried there before
     */
    Optional<HostId> choose(OptionalLong prefixHash, Set<HostId> excluded, long nowNanos);

    /** Returns the last known incarnation of an agent that is up. */
    Optional<Incarnation> incarnation(HostId agent);

    /** Records that a request was sent to an agent. */
    void sent(HostId agent, long nowNanos);

    /** Records the end of a request that was sent to an agent. */
    void ended(HostId agent, Outcome outcome, long nowNanos);

    /** Returns whether an agent is ejected as an outlier. */
    boolean isEjected(HostId agent, long nowNanos);
}
