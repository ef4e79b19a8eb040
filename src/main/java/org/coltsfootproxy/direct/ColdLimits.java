package org.coltsfootproxy.direct;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.base.TargetId;
import org.coltsfootproxy.config.ConfigView;
import org.coltsfootproxy.config.Service;
import org.coltsfootproxy.membership.FleetMembership;

/** What the services' limits for cold targets allow this host. */
final class ColdLimits {
    /** Number of targets whose windows are kept, beyond the listed ones. */
    private static final int MAX_WINDOWS = 10_000;

    private final CallerShares mShares = new CallerShares();
    private final Map<TargetId, SendWindow> mWindows = new LinkedHashMap<>();
    private Map<ServiceId, Optional<Service.ColdStart>> mServices = Map.of();

    /** When the first call may be sent to targets of a service. */
    private final Map<ServiceId, Long> mOpensAt = new HashMap<>();

    private long mStartedAt;
    private boolean mIsConfigured;

    /** Notes that this host starts; what it sent before the start is not known. */
    void started(long nowNanos) {
        mStartedAt = nowNanos;
        mShares.started(nowNanos);
    }

    /** Applies a configuration. */
    void configure(ConfigView config, long nowNanos) {
        if (config.version() == 0) {
            return;
        }
        mServices =
                config.services()
                        .filter(service -> service.coldStart() != null)
                        .collect(Collectors.toMap(Service::id, s -> Optional.of(s.coldStart())));
        long opensAt = (mIsConfigured ? nowNanos : mStartedAt) + SendWindow.LENGTH_NANOS;
        mOpensAt.keySet().retainAll(mServices.keySet());
        mServices.keySet().forEach(service -> mOpensAt.putIfAbsent(service, opensAt));
        mIsConfigured = true;
    }

    /** Replaces the hosts that call targets. */
    void hosts(HostId self, boolean isEntry, FleetMembership membership, long nowNanos) {
        List<HostId> entries = membership.entries();
        mShares.hosts(self, isEntry, membership.targetCallers(), entries, nowNanos);
    }

    /** Returns the limit of a service for its cold targets; empty if it names none. */
    Optional<Service.ColdStart> of(ServiceId service) {
        return mServices.getOrDefault(service, Optional.empty());
    }

    /** Returns the time until the first call may be sent to targets of a service. */
    long closedNanos(ServiceId service, long nowNanos) {
        return Math.max(0, mOpensAt.getOrDefault(service, nowNanos) - nowNanos);
    }

    /** Returns a number that changes when {@link #quota} may return something else. */
    int version(long nowNanos) {
        return mShares.version(nowNanos);
    }

    /** Returns how many calls this host may send to a target within a window. */
    int quota(TargetId target, Service.ColdStart limit) {
        return mShares.of(target, limit.maxCallsInOneSecond());
    }

    /** Returns the calls to a target; they outlast that the list leaves it out for a while. */
    SendWindow window(TargetId target) {
        return mWindows.computeIfAbsent(target, id -> new SendWindow());
    }

    /** Forgets the windows of targets that are no longer listed, once there are too many. */
    void listed(Set<TargetId> targets) {
        if (mWindows.size() > MAX_WINDOWS) {
            mWindows.keySet().retainAll(targets);
        }
    }
}
