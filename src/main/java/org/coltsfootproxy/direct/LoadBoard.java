package org.coltsfootproxy.direct;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.TargetId;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Node;

/**
 * What the hosts that call targets tell each other of their calls, so that each knows how busy a
 * target is before the target says so.
 *
 * <p>A host tells the others when its calls have changed, at most once in a time that grows with
 * their number, so that what a host receives doesn't.
 */
public final class LoadBoard {
    /** Time between two messages for each host that gets them: 200 a second arrive at a host. */
    private static final long TELL_NANOS_A_HOST = TimeUnit.MILLISECONDS.toNanos(5);

    /** Shortest time between two messages. */
    private static final long MIN_TELL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** Longest time between two messages of a host that has calls under way. */
    private static final long IDLE_TELL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Silence after which what a host has told counts no more: two messages and their way. */
    private static final long SILENT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

    private final HostId mSelf;
    private final Targets mTargets;
    private final Map<HostId, Told> mTold = new HashMap<>();
    private Set<HostId> mHosts = Set.of();
    private long mToldChanges;
    private long mToldAt;

    /** What a host has told last. */
    private record Told(Set<TargetId> targets, long nanos) {}

    private LoadBoard(HostId self, Targets targets) {
        mSelf = checkNotNull(self, "self");
        mTargets = checkNotNull(targets, "targets");
    }

    /** Returns the board of a host that knows no other yet. */
    public static LoadBoard create(HostId self, Targets targets) {
        return new LoadBoard(self, targets);
    }

    /** Replaces the hosts that call targets; this one may be among them. */
    public void hosts(Collection<HostId> hosts) {
        mHosts = new LinkedHashSet<>(hosts);
        mHosts.remove(mSelf);
        List<HostId> gone = mTold.keySet().stream().filter(h -> !mHosts.contains(h)).toList();
        gone.forEach(this::forget);
    }

    /** Takes a host's word on its calls. */
    public void handle(HostId from, FleetMessage.InFlight inFlight, long nowNanos) {
        if (!mHosts.contains(from)) {
            return;
        }
        Set<TargetId> targets =
                inFlight.uses().stream()
                        .map(FleetMessage.TargetUse::target)
                        .collect(Collectors.toSet());
        Told before = mTold.put(from, new Told(targets, nowNanos));
        if (before != null) {
            Set<TargetId> left = new HashSet<>(before.targets());
            left.removeAll(targets);
            left.forEach(id -> use(from, id, Optional.empty()));
        }
        inFlight.uses().forEach(use -> use(from, use.target(), Optional.of(use)));
    }

    private void use(HostId host, TargetId id, Optional<FleetMessage.TargetUse> use) {
        mTargets.byId(id).ifPresent(target -> target.use(host, use));
    }

    private void forget(HostId host) {
        mTold.remove(host).targets().forEach(id -> use(host, id, Optional.empty()));
    }

    /** Asks the host with most batch items at a target to give one place up, if there is one. */
    void makeRoom(Target target, Effects out) {
        target.batchHolder()
                .ifPresent(
                        host -> {
                            target.yielded(host);
                            out.send(host, new FleetMessage.Yield(target.listed().id()));
                        });
    }

    /** Tells the other hosts if it is time to, and forgets those that are silent. */
    public void tick(long nowNanos, Effects out) {
        if (nowNanos - nextTickNanos() < 0) {
            return;
        }
        List<HostId> silent =
                mTold.entrySet().stream()
                        .filter(entry -> nowNanos - entry.getValue().nanos() >= SILENT_NANOS)
                        .map(Map.Entry::getKey)
                        .toList();
        silent.forEach(this::forget);
        tell(nowNanos, out);
    }

    private void tell(long nowNanos, Effects out) {
        List<FleetMessage.TargetUse> uses =
                mTargets.all()
                        .map(Target::ownUse)
                        .filter(use -> use.online() + use.batch() > 0)
                        .toList();
        boolean isChanged = mTargets.changes() != mToldChanges;
        mToldChanges = mTargets.changes();
        mToldAt = nowNanos;
        if (isChanged || !uses.isEmpty()) {
            var message = new FleetMessage.InFlight(uses);
            mHosts.forEach(host -> out.send(host, message));
        }
    }

    /** Returns the time of the next due {@link #tick}, or {@link Node#NEVER}. */
    public long nextTickNanos() {
        if (mHosts.isEmpty()) {
            return Node.NEVER;
        }
        long interval = Math.max(MIN_TELL_NANOS, TELL_NANOS_A_HOST * mHosts.size());
        boolean isChanged = mTargets.changes() != mToldChanges;
        return mToldAt + (isChanged ? interval : IDLE_TELL_NANOS);
    }
}
