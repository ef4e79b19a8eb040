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
 * Who owns the token buckets of each shard of organisations, as one entry knows it.
 *
 * <p>The first reachable entry in a shard's rendezvous order asks control for the shard's lease; an
 * entry that is no longer first gives it up. Owners announce their shards to the other entries: on
 * a change, on each new connection and from time to time. What is believed of others is only a
 * hint; the lease alone decides.
 */
public final class LimitOwnership implements OwnerLease {
    /** How long a lease holds without renewal. */
    private static final Duration LEASE = Duration.ofSeconds(4);

    /** Time between two announcements without a change, in nanoseconds. */
    private static final long ANNOUNCE_NANOS = TimeUnit.SECONDS.toNanos(10);

    private final HostId mSelf;
    private final List<ControlHost> mEntries;
    private final List<Shard> mShards;
    private final Set<HostId> mReachable = new HashSet<>();
    private Map<Integer, Long> mAnnounced = Map.of();
    private long mNextAnnouncement;
    private boolean mStopping;

    /** What is known of one shard. */
    private static final class Shard {
        private final int mNumber;
        private final List<HostId> mRanked;
        private final LeaseHolder mHolder;
        private Owner mOwner;
        private long mHeldFencing;
        private long mHeldSince;

        Shard(int number, List<HostId> ranked, LeaseHolder holder) {
            mNumber = number;
            mRanked = ranked;
            mHolder = holder;
        }

        /** Takes a claim unless a later one is known. */
        void claim(HostId host, long fencing) {
            if (mOwner == null || fencing > mOwner.fencing()) {
                mOwner = new Owner(host, fencing);
            }
        }

        /** Notes since when this host has known that it holds the lease under its number. */
        boolean noteHeld(HostId self, long now) {
            boolean isHeld = mHolder.isHeld(now);
            if (isHeld && mHolder.fencing() != mHeldFencing) {
                mHeldFencing = mHolder.fencing();
                mHeldSince = now;
                claim(self, mHeldFencing);
            }
            return isHeld;
        }
    }

    private LimitOwnership(HostId self, List<ControlHost> entries, List<Shard> shards) {
        mSelf = checkNotNull(self, "self");
        mEntries = List.copyOf(entries);
        mShards = shards;
        mReachable.add(self);
    }

    /**
     * Returns the ownership as an entry that has just started knows it.
     *
     * @param incarnation this life of the entry
     * @param entries all entry hosts with their addresses, this one included
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
        List<HostId> ranked = RendezvousHash.rank(name, entries);
        Random own = new Random(random.nextLong());
        return new Shard(
                number, ranked, LeaseHolder.create(name, incarnation, controls, LEASE, own));
    }

    /** Returns the ownership of an entry whose limiter needs no owners. */
    public static LimitOwnership none(HostId self) {
        return new LimitOwnership(self, List.of(), List.of());
    }

    void start(long now, Effects out) {
        others().forEach(e -> out.add(new Effect.PeerAddress(e.host(), e.address())));
        mNextAnnouncement = mShards.isEmpty() ? Node.NEVER : now + ANNOUNCE_NANOS;
        look(now, out);
    }

    private List<ControlHost> others() {
        return mEntries.stream().filter(entry -> !entry.host().equals(mSelf)).toList();
    }

    private boolean isEntry(HostId host) {
        return mEntries.stream().anyMatch(entry -> entry.host().equals(host));
    }

    void peerUp(HostId host, long now, Effects out) {
        if (isEntry(host)) {
            mReachable.add(host);
            out.send(host, announcement(now));
            look(now, out);
        }
    }

    void peerLost(HostId host, long now, Effects out) {
        mShards.forEach(shard -> shard.mHolder.peerLost(host, now));
        if (isEntry(host)) {
            mReachable.remove(host);
            look(now, out);
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

    /** Asks for the leases that this entry is first for, and gives up the others. */
    private void look(long now, Effects out) {
        mShards.forEach(shard -> look(shard, now, out));
        announceChanges(now, out);
    }

    private void look(Shard shard, long now, Effects out) {
        Optional<HostId> first = shard.mRanked.stream().filter(mReachable::contains).findFirst();
        if (!mStopping && first.filter(mSelf::equals).isPresent()) {
            shard.mHolder.want(now, out);
        } else if (shard.mHolder.isHeld(now)) {
            shard.mHolder.release(out);
        }
        shard.mHolder.tick(now, out);
    }

    private void announceChanges(long now, Effects out) {
        Map<Integer, Long> held = new HashMap<>();
        mShards.stream()
                .filter(shard -> shard.noteHeld(mSelf, now))
                .forEach(shard -> held.put(shard.mNumber, shard.mHeldFencing));
        boolean isDue = mNextAnnouncement != Node.NEVER && now - mNextAnnouncement >= 0;
        if (isDue || !held.equals(mAnnounced)) {
            mAnnounced = held;
            mNextAnnouncement = now + ANNOUNCE_NANOS;
            OwnerMessage message = announcement(now);
            others().forEach(entry -> out.send(entry.host(), message));
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

    /** Gives up all leases, as this entry is stopping. */
    void stop(long now, Effects out) {
        mStopping = true;
        look(now, out);
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
                .reduce(mNextAnnouncement, Math::min);
    }

    @Override
    public Optional<Owner> owner(int shard) {
        return Optional.ofNullable(mShards.get(shard).mOwner);
    }

    @Override
    public Optional<Held> held(int shard, long nowNanos) {
        Shard known = mShards.get(shard);
        if (!known.noteHeld(mSelf, nowNanos)) {
            return Optional.empty();
        }
        long until = known.mHolder.heldUntilNanos();
        return Optional.of(new Held(known.mHeldFencing, known.mHeldSince, until));
    }
}
