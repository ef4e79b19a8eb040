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

/** Several entries with their limiters, links that fail and leases, in virtual time. */
final class LimitSimulation {
    static final long MILLI = 1_000_000;
    static final long SECOND = 1_000 * MILLI;
    private static final long LEASE = 2 * SECOND;
    private static final long RENEW = SECOND / 2;
    private static final RecordCodec<Message> CODEC = RecordCodec.of(Message.class);
    private static final double DRIFT = 0.0005;

    /** Makes the limiter of an entry's life. */
    interface Maker {
        Limiter make(HostId self, long life, OwnerLease leases, Limiter.Listener listener);
    }

    private record Event(long at, long order, Runnable action) {}

    /** A lease as its granter and its holder know it. */
    private static final class Lease {
        private Node mHolder;
        private int mHolderLife;
        private long mFencing;
        private long mGranterUntil;
        private long mSince;
        private long mHolderUntil;
    }

    /** One entry. */
    final class Node {
        final HostId mHost;
        final Map<Integer, OwnerLease.Owner> mOwners = new HashMap<>();
        private final double mSpeed;
        private Limiter mLimiter;
        private int mLife;
        private long mTickAt = Long.MAX_VALUE;
        boolean mUp = true;
        boolean mCut;

        Node(int index) {
            mHost = HostId.of("entry-" + index);
            mSpeed = 1 + (mRandom.nextDouble() * 2 - 1) * DRIFT * mDriftScale;
            start();
        }

        long clock() {
            return (long) (mNow * mSpeed);
        }

        private void start() {
            mLife++;
            long life = mRandom.nextLong();
            mLimiter = mMaker.make(mHost, life, leases(), this::decided);
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
                    boolean mine =
                            lease != null
                                    && lease.mHolder == Node.this
                                    && lease.mHolderLife == mLife
                                    && now < lease.mHolderUntil;
                    return mine
                            ? Optional.of(
                                    new Held(lease.mFencing, lease.mSince, lease.mHolderUntil))
                            : Optional.empty();
                }
            };
        }

        /** A request of an organisation arrives here. */
        void request(OrganisationId organisation) {
            if (mUp) {
                Call call = new Call(organisation, mNow, ideal(organisation));
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

        private void receive(HostId from, LimitMessage message, int life) {
            if (mUp && mLife == life) {
                mLimiter.handle(from, message, clock(), out());
                schedule();
            }
        }

        private void schedule() {
            long next = mLimiter.nextTickNanos();
            long at = next == Long.MAX_VALUE ? next : Math.max(mNow, (long) (next / mSpeed) + 1);
            if (at < mTickAt) {
                mTickAt = at;
                int life = mLife;
                at(at, () -> tick(life, at));
            }
        }

        private void tick(int life, long at) {
            if (mUp && mLife == life && mTickAt == at) {
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

    private record Call(OrganisationId organisation, long since, double idealAtArrival) {}

    /** What callers of one organisation saw. */
    static final class Seen {
        long mPassed;
        long mRefused;
        long mRefusedInside;
        long mUnavailable;
        double mWorstExcess;
        final List<Long> mWaits = new ArrayList<>();
        private double mIdeal;
        private long mIdealAt;
    }

    final SplittableRandom mRandom;
    final Map<OrganisationId, Organisation> mOrganisations = new HashMap<>();
    final Map<OrganisationId, Seen> mSeen = new HashMap<>();
    final List<Node> mNodes = new ArrayList<>();
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at() != b.at()
                                    ? Long.compare(a.at(), b.at())
                                    : Long.compare(a.order(), b.order()));
    private final Map<Integer, Lease> mLeases = new HashMap<>();
    private final Map<Long, Call> mWaiting = new HashMap<>();
    private final Maker mMaker;
    private long mOrder;
    private long mCalls;
    private double mDriftScale = 1;
    long mNow = SECOND;
    long mMessages;
    long mBytes;
    boolean mCountBytes;
    double mLoss;
    double mDouble;
    long mDelay = 1_500_000;
    long mJitter = 500_000;

    LimitSimulation(long seed, Maker maker) {
        mRandom = new SplittableRandom(seed);
        mMaker = maker;
    }

    static Maker grants(LimitSettings settings) {
        return (self, life, leases, listener) ->
                GrantLimiter.create(self, life, settings, leases, listener);
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
        mSeen.put(id, new Seen());
        mSeen.get(id).mIdeal = burst;
        mSeen.get(id).mIdealAt = mNow;
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
        int copies = mRandom.nextDouble() < mDouble ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            if (mRandom.nextDouble() >= mLoss && !from.mCut && !target.mCut) {
                boolean late = mLoss > 0 && mRandom.nextDouble() < mLoss;
                long delay = mDelay + mRandom.nextLong(mJitter + 1);
                delay += late ? mRandom.nextLong(3 * SECOND) : 0;
                int life = target.mLife;
                at(mNow + delay, () -> target.receive(from.mHost, message, life));
            }
        }
    }

    /** The granter renews what it can, waits out what it can't, and grants what is free. */
    private void renewLeases() {
        mLeases.forEach(this::renew);
        at(mNow + RENEW, this::renewLeases);
    }

    private void renew(int shard, Lease lease) {
        Node holder = lease.mHolder;
        boolean reached =
                holder != null && holder.mUp && !holder.mCut && holder.mLife == lease.mHolderLife;
        if (!reached && mNow >= lease.mGranterUntil) {
            List<HostId> live =
                    mNodes.stream().filter(n -> n.mUp && !n.mCut).map(n -> n.mHost).toList();
            holder = Shards.preferredOwner(shard, live).map(this::node).orElse(null);
            lease.mHolder = holder;
            lease.mFencing++;
            reached = holder != null;
            lease.mHolderLife = reached ? holder.mLife : 0;
            lease.mSince = reached ? holder.clock() : 0;
        }
        if (reached) {
            lease.mGranterUntil = mNow + LEASE;
            lease.mHolderUntil = holder.clock() + LEASE - LEASE / 500;
            tell(shard, new OwnerLease.Owner(holder.mHost, lease.mFencing));
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

    private void tell(int shard, OwnerLease.Owner owner) {
        for (Node node : mNodes) {
            int life = node.mLife;
            at(mNow + mRandom.nextLong(50 * MILLI), () -> learn(node, life, shard, owner));
        }
    }

    private static void learn(Node node, int life, int shard, OwnerLease.Owner owner) {
        if (node.mUp && !node.mCut && node.mLife == life) {
            node.mOwners.merge(shard, owner, (a, b) -> a.fencing() > b.fencing() ? a : b);
        }
    }

    Optional<Node> owner(OrganisationId organisation) {
        return Optional.ofNullable(mLeases.get(Shards.of(organisation)).mHolder);
    }

    /** Returns the level of an exact bucket that sees every pass at once. */
    private double ideal(OrganisationId id) {
        Seen seen = mSeen.get(id);
        Organisation rates = mOrganisations.get(id);
        double rate = rates.ratePerSecond() * (1 + DRIFT);
        double level = seen.mIdeal + rate * (mNow - seen.mIdealAt) / SECOND;
        seen.mIdeal = Math.min(rates.burst(), level);
        seen.mIdealAt = mNow;
        return seen.mIdeal;
    }

    private void finish(long number, Decision decision) {
        Call call = mWaiting.remove(number);
        Seen seen = mSeen.get(call.organisation());
        double level = ideal(call.organisation());
        seen.mWaits.add(mNow - call.since());
        switch (decision.verdict()) {
            case ADMITTED -> {
                seen.mPassed++;
                seen.mIdeal--;
                seen.mWorstExcess = Math.max(seen.mWorstExcess, -seen.mIdeal);
            }
            case REFUSED -> {
                seen.mRefused++;
                seen.mRefusedInside += Math.min(level, call.idealAtArrival()) >= 1 ? 1 : 0;
            }
            default -> seen.mUnavailable++;
        }
    }

    void changeRates(OrganisationId id, double rate, double burst) {
        ideal(id);
        mOrganisations.put(id, new Organisation(id, rate, burst, 1));
        mNodes.forEach(Node::configure);
    }

    void withoutDrift() {
        mDriftScale = 0;
    }

    /** Sends requests of an organisation as a Poisson stream to entries drawn by weight. */
    void demand(OrganisationId id, double rate, long until, Supplier<Node> entry) {
        double gap = -Math.log(1 - mRandom.nextDouble()) / rate * SECOND;
        long next = mNow + (long) gap;
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
