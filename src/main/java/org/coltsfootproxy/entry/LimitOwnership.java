package org.coltsfootproxy.entry;

import static com.google.common.base.Preconditions.checkNotNull;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.base.RendezvousHash;
import org.coltsfootproxy.config.ControlHost;
import org.coltsfootproxy.limit.OwnerLease;
import org.coltsfootproxy.limit.Shards;
import org.coltsfootproxy.membership.LeaseHolder;
import org.coltsfootproxy.message.ConfigMessage;
import org.coltsfootproxy.message.OwnerMessage;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Node;

/**
 * Tracks, at one entry, which entry owns the token buckets of each shard of organisations.
 *
 * <p>The first reachable entry in a shard's rendezvous order requests the shard's lease from the
 * control hosts; an entry that is no longer first releases it. Owners announce their shards to the
 * other entries on each change, on each new connection and periodically. Announcements by other
 * entries are only hints; the lease alone decides who owns a shard.
 */
public final class LimitOwnership implements OwnerLease {
    /** Validity of a lease without renewal. */
    private static final Duration LEASE_DURATION = Duration.ofSeconds(4);

    /** Interval between announcements while nothing changes, in nanoseconds. */
    private static final long ANNOUNCE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final HostId mSelf;
    private final List<ControlHost> mEntries;
    private final List<Shard> mShards;
    private final Set<HostId> mReachableEntries = new HashSet<>();
    private Map<Integer, Long> mAnnouncedFencing = Map.of();
    private long mNextAnnouncementNanos;
    private boolean mStopping;

    /** State of one shard. */
    private static final class Shard {
        private final int mNumber;
        private final List<HostId> mRankedEntries;
        private final LeaseHolder mHolder;
        private Owner mOwner;
        private long mHeldFencing;
        private long mHeldSinceNanos;

        Shard(int number, List<HostId> rankedEntries, LeaseHolder holder) {
            mNumber = number;
            mRankedEntries = rankedEntries;
            mHolder = holder;
        }

        /** Sets the owner unless one with the same or a higher fencing number is known. */
        void claim(HostId host, long fencing) {
            if (mOwner == null || fencing > mOwner.fencing()) {
                mOwner = new Owner(host, fencing);
            }
        }

        /**
         * Returns whether this host holds the lease now. For a new fencing number, also records now
         * as the time at which this host learnt that it holds the lease.
         */
        boolean updateHeld(HostId self, long now) {
            boolean isHeld = mHolder.isHeld(now);
            if (isHeld && mHolder.fencing() != mHeldFencing) {
                mHeldFencing = mHolder.fencing();
                mHeldSinceNanos = now;
                claim(self, mHeldFencing);
            }
            return isHeld;
        }
    }

    private LimitOwnership(HostId self, List<ControlHost> entries, List<Shard> shards) {
        mSelf = checkNotNull(self, "self");
        mEntries = List.copyOf(entries);
        mShards = shards;
        mReachableEntries.add(self);
    }

    /**
     * Returns the ownership of an entry that has not started yet.
     *
     * @param incarnation incarnation of this entry process
     * @param entries all entry hosts with their addresses, including this one
     * @param controls the control hosts, which grant leases
     */
    public static LimitOwnership create(
            HostId self,
            Incarnation incarnation,
            List<ControlHost> entries,
            List<HostId> controls,
            Random random) {
        List<HostId> hosts = entries.stream().map(ControlHost::host).toList();
        List<Shard> shards =
                IntStream.range(0, Shards.COUNT)
                        .mapToObj(n -> shard(n, incarnation, hosts, controls, random))
                        .toList();
        return new LimitOwnership(self, entries, shards);
    }

    private static Shard shard(
            int number,
            Incarnation incarnation,
            List<HostId> entries,
            List<HostId> controls,
            Random random) {
        String name = Shards.leaseName(number);
        List<HostId> rankedEntries = RendezvousHash.rank(name, entries);
        Random shardRandom = new Random(random.nextLong());
        return new Shard(
                number,
                rankedEntries,
                LeaseHolder.create(name, incarnation, controls, LEASE_DURATION, shardRandom));
    }

    /** Returns an ownership without shards, for an entry whose limiter needs no owners. */
    public static LimitOwnership none(HostId self) {
        return new LimitOwnership(self, List.of(), List.of());
    }

    void start(long now, Effects out) {
        otherEntries().forEach(e -> out.add(new Effect.PeerAddress(e.host(), e.address())));
        mNextAnnouncementNanos = mShards.isEmpty() ? Node.NEVER : now + ANNOUNCE_INTERVAL_NANOS;
        updateLeases(now, out);
    }

    private List<ControlHost> otherEntries() {
        return mEntries.stream().filter(entry -> !entry.host().equals(mSelf)).toList();
    }

    private boolean isEntry(HostId host) {
        return mEntries.stream().anyMatch(entry -> entry.host().equals(host));
    }

    void peerUp(HostId host, long now, Effects out) {
        if (isEntry(host)) {
            mReachableEntries.add(host);
            out.send(host, announcement(now));
            updateLeases(now, out);
        }
    }

    void peerLost(HostId host, long now, Effects out) {
        mShards.forEach(shard -> shard.mHolder.peerLost(host, now));
        if (isEntry(host)) {
            mReachableEntries.remove(host);
            updateLeases(now, out);
        }
    }

    void handle(HostId from, ConfigMessage message, long now, Effects out) {
        mShards.forEach(shard -> shard.mHolder.handle(from, message, now, out));
        announceChanges(now, out);
    }

    void handle(HostId from, OwnerMessage message) {
        if (isEntry(from) && message instanceof OwnerMessage.Owns owns) {
            owns.owned().stream()
                    .filter(owned -> owned.shard() >= 0 && owned.shard() < mShards.size())
                    .forEach(o -> mShards.get(o.shard()).claim(from, o.fencing()));
        }
    }

    /**
     * Requests the leases of the shards in whose order this entry comes first, and releases the
     * others that it holds.
     */
    private void updateLeases(long now, Effects out) {
        mShards.forEach(shard -> updateLeases(shard, now, out));
        announceChanges(now, out);
    }

    private void updateLeases(Shard shard, long now, Effects out) {
        Optional<HostId> first =
                shard.mRankedEntries.stream().filter(mReachableEntries::contains).findFirst();
        if (!mStopping && first.filter(mSelf::equals).isPresent()) {
            shard.mHolder.acquire(now, out);
        } else if (shard.mHolder.isHeld(now)) {
            shard.mHolder.release(out);
        }
        shard.mHolder.tick(now, out);
    }

    private void announceChanges(long now, Effects out) {
        Map<Integer, Long> held = new HashMap<>();
        mShards.stream()
                .filter(shard -> shard.updateHeld(mSelf, now))
                .forEach(shard -> held.put(shard.mNumber, shard.mHeldFencing));
        boolean isDue = mNextAnnouncementNanos != Node.NEVER && now - mNextAnnouncementNanos >= 0;
        if (isDue || !held.equals(mAnnouncedFencing)) {
            mAnnouncedFencing = held;
            mNextAnnouncementNanos = now + ANNOUNCE_INTERVAL_NANOS;
            OwnerMessage message = announcement(now);
            otherEntries().forEach(entry -> out.send(entry.host(), message));
        }
    }

    private OwnerMessage announcement(long now) {
        return new OwnerMessage.Owns(
                mShards.stream()
                        .filter(shard -> shard.mHolder.isHeld(now))
                        .map(s -> new OwnerMessage.Owned(s.mNumber, s.mHolder.fencing()))
                        .sorted(Comparator.comparingInt(OwnerMessage.Owned::shard))
                        .toList());
    }

    /** Releases all leases because this entry is stopping. */
    void stop(long now, Effects out) {
        mStopping = true;
        updateLeases(now, out);
    }

    void tick(long now, Effects out) {
        mShards.stream()
                .filter(shard -> shard.mHolder.nextTickNanos() <= now)
                .forEach(shard -> shard.mHolder.tick(now, out));
        announceChanges(now, out);
    }

    long nextTickNanos() {
        return mShards.stream()
                .mapToLong(shard -> shard.mHolder.nextTickNanos())
                .reduce(mNextAnnouncementNanos, Math::min);
    }

    @Override
    public Optional<Owner> owner(int shard) {
        return Optional.ofNullable(mShards.get(shard).mOwner);
    }

    @Override
    public Optional<Held> held(int shard, long nowNanos) {
        Shard state = mShards.get(shard);
        if (!state.updateHeld(mSelf, nowNanos)) {
            return Optional.empty();
        }
        long untilNanos = state.mHolder.heldUntilNanos();
        return Optional.of(new Held(state.mHeldFencing, state.mHeldSinceNanos, untilNanos));
    }
}
