package org.coltsfootproxy.direct;

import static com.google.common.base.Preconditions.checkNotNull;

import com.google.common.hash.Hashing;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.TargetId;

/**
 * Divides a number of calls to a target among the hosts that call targets.
 *
 * <p>A part is set aside for each host, so that the parts add up to the whole while hosts can't
 * hear each other. A host that leaves the roster keeps its part for a while, since it may only be
 * unreachable. A host that has just started takes one call at most, since the first rosters may not
 * yet name all hosts.
 */
final class CallerShares {
    /** Long enough for an unreachable entry to lose its configuration, and a store its leases. */
    private static final long RETENTION_NANOS = TimeUnit.SECONDS.toNanos(30);

    /** Time after a start in which all hosts enrol, even if all start at once. */
    private static final long SETTLING_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Stores send few calls, each of which runs for long. */
    private static final int PARTS_PER_STORE_PART = 8;

    /** Calls left for a host that has joined and that the others don't know of yet. */
    private static final int RESERVED_CALLS = 1;

    private final Map<HostId, Caller> mCallers = new HashMap<>();
    private Optional<HostId> mSelf = Optional.empty();
    private long mSettlesAt;
    private boolean mIsSettled;
    private long mNextExpiry = Long.MAX_VALUE;
    private int mVersion;

    /**
     * A host that calls targets.
     *
     * @param expiresAt when its part is given to others; {@link Long#MAX_VALUE} while it is listed
     */
    private record Caller(boolean isEntry, long expiresAt) {}

    /** Notes that this host starts. */
    void started(long nowNanos) {
        mSettlesAt = nowNanos + SETTLING_NANOS;
    }

    /** Replaces the listed hosts; this host is counted in any case. */
    void hosts(
            HostId self, boolean isEntry, Collection<HostId> all, List<HostId> entries, long now) {
        checkNotNull(self, "self");
        mSelf = Optional.of(self);
        mCallers.replaceAll(
                (host, caller) ->
                        caller.expiresAt() == Long.MAX_VALUE
                                ? new Caller(caller.isEntry(), now + RETENTION_NANOS)
                                : caller);
        all.forEach(h -> mCallers.put(h, new Caller(entries.contains(h), Long.MAX_VALUE)));
        mCallers.put(self, new Caller(isEntry, Long.MAX_VALUE));
        update(now);
    }

    private void update(long now) {
        mVersion++;
        mCallers.values().removeIf(c -> isExpired(c, now));
        mNextExpiry =
                mCallers.values().stream()
                        .mapToLong(Caller::expiresAt)
                        .min()
                        .orElse(Long.MAX_VALUE);
    }

    private static boolean isExpired(Caller caller, long now) {
        return caller.expiresAt() != Long.MAX_VALUE && now - caller.expiresAt() >= 0;
    }

    /** Returns a number that changes when {@link #of} may return something else. */
    int version(long now) {
        if (mNextExpiry != Long.MAX_VALUE && now - mNextExpiry >= 0) {
            update(now);
        }
        if (!mIsSettled && now - mSettlesAt >= 0) {
            mIsSettled = true;
            mVersion++;
        }
        return mVersion;
    }

    /** Returns this host's part of a number of calls to a target. */
    int of(TargetId target, int calls) {
        Caller self = mSelf.map(mCallers::get).orElse(null);
        if (self == null) {
            return 0;
        }
        int toShare = calls - RESERVED_CALLS;
        boolean hasStores = mCallers.values().stream().anyMatch(c -> !c.isEntry());
        int forStores = hasStores ? Math.max(1, toShare / PARTS_PER_STORE_PART) : 0;
        int forAll = self.isEntry() ? toShare - forStores : forStores;
        List<HostId> peers =
                mCallers.entrySet().stream()
                        .filter(entry -> entry.getValue().isEntry() == self.isEntry())
                        .map(Map.Entry::getKey)
                        .sorted(
                                Comparator.comparingLong((HostId host) -> hash(target, host))
                                        .thenComparing(Comparator.naturalOrder()))
                        .toList();
        int rank = peers.indexOf(mSelf.orElseThrow());
        int part = forAll / peers.size() + (rank < forAll % peers.size() ? 1 : 0);
        return mIsSettled ? part : Math.min(1, part);
    }

    /** Each target has another order of the hosts, so that what remains is spread over them. */
    private static long hash(TargetId target, HostId host) {
        return Hashing.murmur3_128()
                .newHasher()
                .putUnencodedChars(target.value())
                .putChar('\n')
                .putUnencodedChars(Objects.requireNonNull(host.value()))
                .hash()
                .asLong();
    }
}
