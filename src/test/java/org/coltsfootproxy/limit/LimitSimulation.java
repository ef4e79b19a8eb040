package org.coltsfootproxy.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.base.RecordCodec;
import org.coltsfootproxy.config.ConfigView;
import org.coltsfootproxy.config.Organisation;
import org.coltsfootproxy.message.LimitMessage;
import org.coltsfootproxy.message.Message;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;

/**
 * Simulates several entries with their limiters, unreliable links and leases in virtual time.
 *
 * <p>Compares all admissions with an exact token bucket.
 */
final class LimitSimulation {
    static final long MILLI_NANOS = 1_000_000;
    static final long SECOND_NANOS = 1_000 * MILLI_NANOS;
    private static final long LEASE_NANOS = 2 * SECOND_NANOS;
    private static final long RENEWAL_INTERVAL_NANOS = SECOND_NANOS / 2;
    private static final RecordCodec<Message> CODEC = RecordCodec.of(Message.class);
    private static final double MAX_CLOCK_DRIFT = 0.0005;

    /** Creates the limiter of one incarnation of an entry. */
    interface LimiterFactory {
        Limiter newLimiter(
                HostId self, long incarnation, OwnerLease leases, Limiter.Listener listener);
    }

    private record Event(long at, long order, Runnable action) {}

    /** A lease from the views of its granter and its holder. */
    private static final class Lease {
        private Node mHolder;
        private int mHolderIncarnation;
        private long mFencing;
        private long mGranterUntil;
        private long mSince;
        private long mHolderUntil;
    }

    /** One simulated entry. */
    final class Node {
        final HostId mHost;
        final Map<Integer, OwnerLease.Owner> mOwners = new HashMap<>();
        private final double mClockRate;
        private Limiter mLimiter;
        private int mIncarnation;
        private long mTickAt = Long.MAX_VALUE;
        boolean mUp = true;
        boolean mPartitioned;

        Node(int index) {
            mHost = HostId.of("entry-" + index);
            mClockRate = 1 + (mRandom.nextDouble() * 2 - 1) * MAX_CLOCK_DRIFT * mDriftScale;
            start();
        }

        long clock() {
            return (long) (mNow * mClockRate);
        }

        private void start() {
            mIncarnation++;
            long incarnation = mRandom.nextLong();
            mLimiter = mFactory.newLimiter(mHost, incarnation, leases(), this::decided);
            mLimiter.configure(view(), clock());
            mOwners.clear();
        }

        private OwnerLease leases() {
            return new OwnerLease() {
                @Override
                public Optional<Owner> owner(int shard) {
                    return Optional.ofNullable(mOwners.get(shard));
                }

                @Override
                public Optional<Held> held(int shard, long now) {
                    Lease lease = mLeases.get(shard);
                    boolean isHolder =
                            lease != null
                                    && lease.mHolder == Node.this
                                    && lease.mHolderIncarnation == mIncarnation
                                    && now < lease.mHolderUntil;
                    return isHolder
                            ? Optional.of(
                                    new Held(lease.mFencing, lease.mSince, lease.mHolderUntil))
                            : Optional.empty();
                }
            };
        }

        /** Offers a request of an organisation to this entry. */
        void request(OrganisationId organisation) {
            if (mUp) {
                Call call = new Call(organisation, mNow, idealLevel(organisation));
                long number = ++mCalls;
                mWaiting.put(number, call);
                Decision now = mLimiter.tryAcquire(organisation, number, clock(), out());
                if (now.verdict() != Decision.Verdict.WAIT) {
                    finish(number, now);
                }
                schedule();
            }
        }

        private void decided(long number, Decision decision, long clock, Effects out) {
            finish(number, decision);
        }

        private Effects out() {
            return effect -> {
                if (effect instanceof Effect.Send send) {
                    deliver(this, send.to(), (LimitMessage) send.message());
                }
            };
        }

        private void receive(HostId from, LimitMessage message, int incarnation) {
            if (mUp && mIncarnation == incarnation) {
                mLimiter.handle(from, message, clock(), out());
                schedule();
            }
        }

        private void schedule() {
            long next = mLimiter.nextTickNanos();
            long at =
                    next == Long.MAX_VALUE ? next : Math.max(mNow, (long) (next / mClockRate) + 1);
            if (at < mTickAt) {
                mTickAt = at;
                int incarnation = mIncarnation;
                at(at, () -> tick(incarnation, at));
            }
        }

        private void tick(int incarnation, long at) {
            if (mUp && mIncarnation == incarnation && mTickAt == at) {
                mTickAt = Long.MAX_VALUE;
                mLimiter.tick(clock(), out());
                schedule();
            }
        }

        void crash() {
            mUp = false;
            mTickAt = Long.MAX_VALUE;
        }

        void restart() {
            if (!mUp) {
                mUp = true;
                start();
            }
        }

        void configure() {
            mLimiter.configure(view(), clock());
        }
    }

    private record Call(OrganisationId organisation, long since, double idealLevelAtArrival) {}

    /** The outcomes that the callers of one organisation observed. */
    static final class CallerStats {
        long mAdmitted;
        long mRefused;
        long mRefusedWithinRate;
        long mUnavailable;
        double mMaxExcess;
        final List<Long> mWaits = new ArrayList<>();
        private double mIdealLevel;
        private long mIdealAt;
    }

    final SplittableRandom mRandom;
    final Map<OrganisationId, Organisation> mOrganisations = new HashMap<>();
    final Map<OrganisationId, CallerStats> mStats = new HashMap<>();
    final List<Node> mNodes = new ArrayList<>();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at() != b.at()
                                    ? Long.compare(a.at(), b.at())
                                    : Long.compare(a.order(), b.order()));
    private final Map<Integer, Lease> mLeases = new HashMap<>();
    private final Map<Long, Call> mWaiting = new HashMap<>();
    private final LimiterFactory mFactory;
    private long mOrder;
    private long mCalls;
    private double mDriftScale = 1;
    long mNow = SECOND_NANOS;
    long mMessages;
    long mBytes;
    boolean mCountBytes;
    double mLoss;
    double mDuplication;
    long mDelayNanos = 1_500_000;
    long mJitterNanos = 500_000;

    LimitSimulation(long seed, LimiterFactory factory) {
        mRandom = new SplittableRandom(seed);
        mFactory = factory;
    }

    static LimiterFactory grants(LimitSettings settings) {
        return (self, incarnation, leases, listener) ->
                GrantLimiter.create(self, incarnation, settings, leases, listener);
    }

    void addNodes(int count) {
        for (int i = 0; i < count; i++) {
            mNodes.add(new Node(i));
        }
        at(mNow, this::renewLeases);
    }

    OrganisationId addOrganisation(String name, double rate, double burst) {
        OrganisationId id = OrganisationId.of(name);
        mOrganisations.put(id, new Organisation(id, rate, burst, 1));
        mStats.put(id, new CallerStats());
        mStats.get(id).mIdealLevel = burst;
        mStats.get(id).mIdealAt = mNow;
        mLeases.computeIfAbsent(Shards.of(id), shard -> new Lease());
        return id;
    }

    void at(long time, Runnable action) {
        mEvents.add(new Event(Math.max(time, mNow), mOrder++, action));
    }

    void runUntil(long end) {
        while (!mEvents.isEmpty() && mEvents.element().at() <= end) {
            Event next = mEvents.remove();
            mNow = Math.max(mNow, next.at());
            next.action().run();
        }
        mNow = end;
    }

    private void deliver(Node from, HostId to, LimitMessage message) {
        mMessages++;
        mBytes += mCountBytes ? CODEC.encode(message).length : 0;
        Node target = mNodes.stream().filter(n -> n.mHost.equals(to)).findFirst().orElseThrow();
        int copies = mRandom.nextDouble() < mDuplication ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (mRandom.nextDouble() >= mLoss && !from.mPartitioned && !target.mPartitioned) {
                boolean late = mLoss > 0 && mRandom.nextDouble() < mLoss;
                long delay = mDelayNanos + mRandom.nextLong(mJitterNanos + 1);
                delay += late ? mRandom.nextLong(3 * SECOND_NANOS) : 0;
                int incarnation = target.mIncarnation;
                at(mNow + delay, () -> target.receive(from.mHost, message, incarnation));
            }
        }
    }

    /** Renews leases of reachable holders, lets others expire and grants expired leases anew. */
    private void renewLeases() {
        mLeases.forEach(this::renew);
        at(mNow + RENEWAL_INTERVAL_NANOS, this::renewLeases);
    }

    private void renew(int shard, Lease lease) {
        Node holder = lease.mHolder;
        boolean isReachable =
                holder != null
                        && holder.mUp
                        && !holder.mPartitioned
                        && holder.mIncarnation == lease.mHolderIncarnation;
        if (!isReachable && mNow >= lease.mGranterUntil) {
            List<HostId> live =
                    mNodes.stream()
                            .filter(n -> n.mUp && !n.mPartitioned)
                            .map(n -> n.mHost)
                            .toList();
            holder = Shards.preferredOwner(shard, live).map(this::node).orElse(null);
            lease.mHolder = holder;
            lease.mFencing++;
            isReachable = holder != null;
            lease.mHolderIncarnation = isReachable ? holder.mIncarnation : 0;
            lease.mSince = isReachable ? holder.clock() : 0;
        }
        if (isReachable) {
            lease.mGranterUntil = mNow + LEASE_NANOS;
            lease.mHolderUntil = holder.clock() + LEASE_NANOS - LEASE_NANOS / 500;
            announceOwner(shard, new OwnerLease.Owner(holder.mHost, lease.mFencing));
        }
    }

    private ConfigView view() {
        return ConfigView.of(
                1,
                mOrganisations.values().stream(),
                Stream.empty(),
                Stream.empty(),
                Stream.empty());
    }

    private Node node(HostId host) {
        return mNodes.stream().filter(n -> n.mHost.equals(host)).findFirst().orElseThrow();
    }

    private void announceOwner(int shard, OwnerLease.Owner owner) {
        for (Node node : mNodes) {
            int incarnation = node.mIncarnation;
            at(
                    mNow + mRandom.nextLong(50 * MILLI_NANOS),
                    () -> updateOwner(node, incarnation, shard, owner));
        }
    }

    private static void updateOwner(Node node, int incarnation, int shard, OwnerLease.Owner owner) {
        if (node.mUp && !node.mPartitioned && node.mIncarnation == incarnation) {
            node.mOwners.merge(shard, owner, (a, b) -> a.fencing() > b.fencing() ? a : b);
        }
    }

    Optional<Node> owner(OrganisationId organisation) {
        return Optional.ofNullable(mLeases.get(Shards.of(organisation)).mHolder);
    }

    /** Returns the level of an exact bucket that sees every admission at once. */
    private double idealLevel(OrganisationId id) {
        CallerStats stats = mStats.get(id);
        Organisation rates = mOrganisations.get(id);
        double rate = rates.ratePerSecond() * (1 + MAX_CLOCK_DRIFT);
        double level = stats.mIdealLevel + rate * (mNow - stats.mIdealAt) / SECOND_NANOS;
        stats.mIdealLevel = Math.min(rates.burst(), level);
        stats.mIdealAt = mNow;
        return stats.mIdealLevel;
    }

    private void finish(long number, Decision decision) {
        Call call = mWaiting.remove(number);
        CallerStats stats = mStats.get(call.organisation());
        double level = idealLevel(call.organisation());
        stats.mWaits.add(mNow - call.since());
        switch (decision.verdict()) {
            case ADMITTED -> {
                stats.mAdmitted++;
                stats.mIdealLevel--;
                stats.mMaxExcess = Math.max(stats.mMaxExcess, -stats.mIdealLevel);
            }
            case REFUSED -> {
                stats.mRefused++;
                stats.mRefusedWithinRate +=
                        Math.min(level, call.idealLevelAtArrival()) >= 1 ? 1 : 0;
            }
            default -> stats.mUnavailable++;
        }
    }

    void changeRates(OrganisationId id, double rate, double burst) {
        idealLevel(id);
        mOrganisations.put(id, new Organisation(id, rate, burst, 1));
        mNodes.forEach(Node::configure);
    }

    void withoutDrift() {
        mDriftScale = 0;
    }

    /** Generates a Poisson stream of requests of an organisation to the supplied entries. */
    void demand(OrganisationId id, double rate, long until, Supplier<Node> entry) {
        double interval = -Math.log(1 - mRandom.nextDouble()) / rate * SECOND_NANOS;
        long next = mNow + (long) interval;
        if (next < until) {
            at(
                    next,
                    () -> {
                        entry.get().request(id);
                        demand(id, rate, until, entry);
                    });
        }
    }

    Node anyNode() {
        return mNodes.get(mRandom.nextInt(mNodes.size()));
    }
}
