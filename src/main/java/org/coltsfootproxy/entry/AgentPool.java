package org.coltsfootproxy.entry;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.config.ConfigView;
import org.coltsfootproxy.config.Service;
import org.coltsfootproxy.message.CallMessage;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.routing.AgentChooser;
import org.coltsfootproxy.routing.AgentReport;

/** The agents that this entry keeps connections to, with an {@link AgentChooser} per service. */
final class AgentPool {
    private final Supplier<AgentChooser> mChooserFactory;
    private final Map<ServiceId, AgentChooser> mChoosers = new HashMap<>();
    private final Set<HostId> mWatched = new HashSet<>();
    private final Predicate<HostId> mIsLeaving;

    private AgentPool(Supplier<AgentChooser> chooserFactory, Predicate<HostId> isLeaving) {
        mChooserFactory = chooserFactory;
        mIsLeaving = isLeaving;
    }

    /**
     * Returns a pool without agents.
     *
     * @param isLeaving whether the platform is about to remove a host
     */
    static AgentPool create(Supplier<AgentChooser> chooserFactory, Predicate<HostId> isLeaving) {
        return new AgentPool(chooserFactory, isLeaving);
    }

    /** Applies a version of the configuration. */
    void configure(ConfigView view, Effects out) {
        Set<ServiceId> services = view.services().map(Service::id).collect(Collectors.toSet());
        mChoosers.keySet().retainAll(services);
        view.services().forEach(service -> configure(service, out));
        Set<HostId> subset =
                mChoosers.values().stream()
                        .flatMap(chooser -> chooser.subset().stream())
                        .collect(Collectors.toSet());
        mWatched.retainAll(subset);
        subset.stream().filter(mWatched::add).sorted().forEach(agent -> watch(agent, out));
    }

    private void configure(Service service, Effects out) {
        AgentChooser chooser = mChoosers.computeIfAbsent(service.id(), id -> mChooserFactory.get());
        chooser.targets(
                service.targets().stream().filter(t -> !mIsLeaving.test(t.agent())).toList());
        Set<HostId> subset = new HashSet<>(chooser.subset());
        service.targets().stream()
                .filter(target -> subset.contains(target.agent()))
                .forEach(t -> out.add(new Effect.PeerAddress(t.agent(), t.address())));
    }

    /** Asks an agent to report its state, which also opens the connection to it. */
    void watch(HostId agent, Effects out) {
        out.send(agent, new CallMessage.Watch(CallMessage.NO_REQUEST));
    }

    /** Asks all agents without a ready connection to report their state. */
    void watchDisconnected(Effects out) {
        mWatched.stream()
                .filter(agent -> mChoosers.values().stream().noneMatch(c -> isUp(c, agent)))
                .sorted()
                .forEach(agent -> watch(agent, out));
    }

    private static boolean isUp(AgentChooser chooser, HostId agent) {
        return chooser.incarnation(agent).isPresent();
    }

    boolean isWatched(HostId host) {
        return mWatched.contains(host);
    }

    void up(HostId agent, Incarnation incarnation) {
        mChoosers.values().forEach(chooser -> chooser.up(agent, incarnation));
    }

    void down(HostId agent) {
        mChoosers.values().forEach(chooser -> chooser.down(agent));
    }

    void report(HostId agent, CallMessage.AgentState state, long now) {
        AgentReport report =
                new AgentReport(
                        agent,
                        state.incarnation(),
                        state.draining(),
                        state.inFlight(),
                        state.queued(),
                        state.limit());
        Optional.ofNullable(mChoosers.get(state.service()))
                .ifPresent(chooser -> chooser.report(report, now));
    }

    Optional<AgentChooser> chooser(ServiceId service) {
        return Optional.ofNullable(mChoosers.get(service));
    }
}
