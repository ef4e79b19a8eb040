package org.coltsfootproxy.direct;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.ServiceId;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Node;

/**
 * Decides which online requests are refused at once because no target could begin them in time.
 *
 * <p>Targets run what comes first, so each request that is sent to a full target delays all that
 * come after it. A request whose turn would come after the time in which its caller expects the
 * answer is refused, and its caller told to come back when places are free; callers are spread over
 * the places, so that they don't come back together. A request that comes back after a refusal, at
 * whichever entry, waits its turn and isn't refused again: entries tell each other what they
 * refused.
 */
final class Overload {
    /**
     * Part of the goal for which a request is taken to hold a slot until one has ended here. Most
     * services answer well within their goal; a guess too high would refuse what can be served.
     */
    private static final double FIRST_HOLD_PART = 0.2;

    /** Weight of the last request in the mean time. */
    private static final double WEIGHT_OF_LAST = 0.05;

    /** Part of the goal that may pass before a target begins; the rest is the target's own. */
    private static final double WAIT_PART = 0.7;

    /** Part of the time left within which a caller can be told to come back. */
    private static final double COME_BACK_PART = 1 / 3.0;

    /** Shortest time after which a caller is told to come back. */
    private static final long MIN_COME_BACK_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /** How long a refused request is remembered: longer than a caller is ever told to wait. */
    private static final long REMEMBER_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** Time between two messages with refused requests. */
    private static final long TELL_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private static final int MAX_REMEMBERED = 20_000;

    private final Targets mTargets;
    private final Map<ServiceId, Double> mHoldNanos = new HashMap<>();
    private final Map<ServiceId, Long> mNextPlace = new HashMap<>();
    private final LinkedHashMap<Long, Long> mRefused = new LinkedHashMap<>();
    private final List<Long> mUntold = new ArrayList<>();
    private List<HostId> mOthers = List.of();
    private long mToldAt;

    private Overload(Targets targets) {
        mTargets = checkNotNull(targets, "targets");
    }

    static Overload create(Targets targets) {
        return new Overload(targets);
    }

    /** Replaces the entries of the fleet, this one included. */
    void entries(Collection<HostId> entries, HostId self) {
        mOthers = entries.stream().filter(entry -> !entry.equals(self)).toList();
    }

    /** Takes what another entry has refused. */
    void handle(FleetMessage.Refused refused, long nowNanos) {
        refused.requests().forEach(request -> remember(request, nowNanos));
    }

    private void remember(long request, long nowNanos) {
        mRefused.put(request, nowNanos);
        Iterator<Long> oldest = mRefused.values().iterator();
        while (oldest.hasNext()) {
            boolean isOld = nowNanos - oldest.next() >= REMEMBER_NANOS;
            if (!isOld && mRefused.size() <= MAX_REMEMBERED) {
                return;
            }
            oldest.remove();
        }
    }

    /** Notes how long a request that is whole has held its slot. */
    void ran(DirectRequest request, long nowNanos) {
        if (request.hasPlace()) {
            double held = nowNanos - request.sentAt();
            mHoldNanos.merge(
                    request.service(), held, (old, last) -> old + WEIGHT_OF_LAST * (last - old));
        }
    }

    /**
     * Returns the time in milliseconds after which the caller of a request should come back; empty
     * if the request is to be sent.
     */
    OptionalLong refusal(DirectRequest request, long nowNanos) {
        ServiceId service = request.service();
        long goal = TimeUnit.MILLISECONDS.toNanos(request.route().policy().goalMillis());
        double hold = mHoldNanos.getOrDefault(service, FIRST_HOLD_PART * goal);
        double wait = waitNanos(service, hold, nowNanos);
        if (goal == 0 || wait <= WAIT_PART * goal) {
            return OptionalLong.empty();
        }
        long hash = hash(request);
        long left = request.deadline() - nowNanos;
        long latest = (long) (left * COME_BACK_PART);
        boolean mayComeBack = latest > MIN_COME_BACK_NANOS + goal;
        if (mRefused.remove(hash) != null || !mayComeBack) {
            return OptionalLong.empty();
        }
        remember(hash, nowNanos);
        mUntold.add(hash);
        long comeBack = Math.min(latest, nextPlace(service, hold, wait, nowNanos) - nowNanos);
        return OptionalLong.of(Math.max(1, TimeUnit.NANOSECONDS.toMillis(comeBack)));
    }

    /** Returns how long a request would wait for its turn at the target that takes it soonest. */
    private double waitNanos(ServiceId service, double hold, long nowNanos) {
        return mTargets.staying(service)
                .filter(target -> !target.isAvoided(nowNanos))
                .mapToDouble(target -> waitNanos(target, hold, nowNanos))
                .min()
                .orElse(0);
    }

    private static double waitNanos(Target target, double hold, long nowNanos) {
        int ahead = target.inFlight(nowNanos) - target.yielding() - target.slots() + 1;
        return Math.max(0, ahead) * hold / target.slots();
    }

    /** Gives the next caller the next place that gets free, as this entry's part of all places. */
    private long nextPlace(ServiceId service, double hold, double wait, long nowNanos) {
        int slots = mTargets.staying(service).mapToInt(Target::slots).sum();
        long spacing = (long) (hold * (1 + mOthers.size()) / Math.max(1, slots));
        long earliest = nowNanos + MIN_COME_BACK_NANOS + (long) wait;
        long place = Math.max(earliest, mNextPlace.getOrDefault(service, earliest) + spacing);
        mNextPlace.put(service, place);
        return place;
    }

    /** A caller that comes back sends the same content under another name. */
    private static long hash(DirectRequest request) {
        return Hashing.murmur3_128()
                .newHasher()
                .putString(request.organisation().id().value(), StandardCharsets.UTF_8)
                .putString(request.call().path(), StandardCharsets.UTF_8)
                .putBytes(request.call().body())
                .hash()
                .asLong();
    }

    /** Tells the other entries what was refused here, if it is time to. */
    void tick(long nowNanos, Effects out) {
        if (mUntold.isEmpty() || nowNanos - mToldAt < TELL_NANOS) {
            return;
        }
        mToldAt = nowNanos;
        var message = new FleetMessage.Refused(mUntold);
        mUntold.clear();
        mOthers.forEach(entry -> out.send(entry, message));
    }

    long nextTickNanos() {
        return mUntold.isEmpty() ? Node.NEVER : mToldAt + TELL_NANOS;
    }
}
