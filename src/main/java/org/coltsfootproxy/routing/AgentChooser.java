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
 * Chooses the agent for each request to one service at one entry.
 *
 * <p>Single-threaded and deterministic for a given random source. Times are nanoseconds of the
 * entry's monotonic clock.
 */
public interface AgentChooser {
    /**
     * Returns the chooser by data centre, prefix affinity and load among few candidates.
     *
     * @param entry this entry's host, which decides its subset of agents
     */
    static AgentChooser leastLoaded(
            HostId entry, DataCentre own, ChooserSettings settings, RandomGenerator random) {
        return LeastLoadedChooser.create(entry, own, settings, random);
    }

    /** Returns the baseline: each agent in turn. */
    static AgentChooser roundRobin() {
        return new RoundRobinChooser();
    }

    /** Takes the service's targets; agents that stay keep what is known about them. */
    void targets(Collection<ServiceTarget> targets);

    /** Returns the agents that this entry keeps connections to, best first. */
    List<HostId> subset();

    /** Notes that a connection to an agent is ready. */
    void up(HostId agent, Incarnation incarnation);

    /** Notes that an agent can't be reached. */
    void down(HostId agent);

    /** Notes what an agent told of itself. */
    void report(AgentReport report, long nowNanos);

    /**
     * Chooses an agent; the caller must then call {@link #sent}.
     *
     * @param prefixHash hash of the prompt's prefix, if the request has one
     * @param excluded agents that must not be chosen, as they were tried before
     */
    Optional<HostId> choose(OptionalLong prefixHash, Set<HostId> excluded, long nowNanos);

    /** Returns the life of an agent that is up, as known here. */
    Optional<Incarnation> incarnation(HostId agent);

    /** Notes that a request was sent to an agent. */
    void sent(HostId agent, long nowNanos);

    /** Notes that a request sent to an agent ended. */
    void ended(HostId agent, Outcome outcome, long nowNanos);

    /** Tells whether an agent is set aside as an outlier. */
    boolean isSetAside(HostId agent, long nowNanos);
}
