package org.coltsfootproxy.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.config.ConfigTiming;
import org.coltsfootproxy.config.QuorumRead;
import org.coltsfootproxy.consensus.Proposer;
import org.coltsfootproxy.message.ConfigMessage;
import org.coltsfootproxy.message.Message;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Holders and granters together: never two holders, whatever links, leaders and clocks do.
 *
 * <p>The log is a list. A leader that was deposed may not know; what it had proposed is committed
 * by its successor or lost.
 */
public final class LeaseTest {
    private static final long STEP = TimeUnit.MILLISECONDS.toNanos(5);
    private static final int HOSTS = 3;
    private static final Duration DURATION = Duration.ofSeconds(2);
    private static final String NAME = "limit-owner";

    @DataProvider
    public Object[][] seeds() {
        return LongStream.range(0, 20).mapToObj(s -> new Object[] {s}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void neverTwoHoldersAndEachGrantHasAHigherNumber(long seed) {
        var world = new World(seed, 4);
        world.mLoss = 0.1;
        world.mDelay = TimeUnit.MILLISECONDS.toNanos(world.mRandom.nextInt(1000));
        for (int step = 0; step < 120; step++) {
            world.run(world.mRandom.nextInt(200) * STEP);
            world.fault();
        }
        world.mLoss = 0;
        world.mDelay = STEP;
        world.elect(world.mRandom.nextInt(HOSTS), true);
        world.mHolders.forEach(h -> h.mIsCut = false);
        world.mHolders.forEach(h -> h.mDecisions.want(h.clock(), h.effects()));
        world.run(TimeUnit.SECONDS.toNanos(10));
        long held = world.mHolders.stream().filter(Holder::isHeld).count();
        assertEquals(held, 1, "after all was well again");
        assertTrue(world.mGrants > 3, "seed " + seed + " granted too little to tell");
    }

    @Test
    public void aLostHolderIsReplacedAfterItsLeaseAndNoSooner() {
        var world = new World(1, 2);
        Holder first = world.mHolders.get(0);
        Holder second = world.mHolders.get(1);
        first.mDecisions.want(first.clock(), first.effects());
        world.run(TimeUnit.SECONDS.toNanos(1));
        assertTrue(first.isHeld());
        long fencing = first.mDecisions.fencing();
        second.mDecisions.want(second.clock(), second.effects());
        first.mIsCut = true;
        world.run(DURATION.toNanos() / 2);
        assertFalse(second.isHeld());
        world.run(DURATION.toNanos());
        assertTrue(second.isHeld());
        assertTrue(second.mDecisions.fencing() > fencing);
        assertFalse(first.isHeld());
    }

    @Test
    public void aReleasedLeaseIsFreeAtOnce() {
        var world = new World(2, 2);
        Holder first = world.mHolders.get(0);
        Holder second = world.mHolders.get(1);
        first.mDecisions.want(first.clock(), first.effects());
        world.run(TimeUnit.SECONDS.toNanos(1));
        assertTrue(first.isHeld());
        first.mDecisions.release(first.effects());
        world.run(10 * STEP);
        second.mDecisions.want(second.clock(), second.effects());
        world.run(TimeUnit.MILLISECONDS.toNanos(500));
        assertTrue(second.isHeld());
    }

    @Test
    public void aNewLeaderWaitsOutWhatItsPredecessorMayHaveRenewed() {
        var world = new World(3, 2);
        Holder first = world.mHolders.get(0);
        Holder second = world.mHolders.get(1);
        first.mDecisions.want(first.clock(), first.effects());
        world.run(TimeUnit.SECONDS.toNanos(1));
        assertTrue(first.isHeld());
        first.mIsCut = true;
        world.elect(1, false);
        second.mDecisions.want(second.clock(), second.effects());
        world.run(DURATION.toNanos() - 20 * STEP);
        assertFalse(second.isHeld());
        world.run(TimeUnit.SECONDS.toNanos(1));
        assertTrue(second.isHeld());
    }

    @Test
    public void ofTwoGrantsThatReplaceTheSameOnlyOneTakesEffect() {
        LeaseTable table = LeaseTable.create();
        for (String host : List.of("holder-1", "holder-2")) {
            HostId id = HostId.of(host);
            var grant = new LeaseCommand.Grant(NAME, id, Incarnation.of(1), 0, 1000);
            table.apply(1, grant.encode());
        }
        assertEquals(table.lease(NAME).orElseThrow().host(), HostId.of("holder-1"));
        table.apply(2, new LeaseCommand.End(NAME, 99).encode());
        assertTrue(table.lease(NAME).isPresent(), "ended under another number");
    }

    private record Event(long at, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    /** Hosts, holders, links and the log. */
    private static final class World {
        private final Random mRandom;
        private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
        private final List<byte[]> mLog = new ArrayList<>();
        private final List<Host> mHosts;
        private final List<Holder> mHolders;
        private long mNow;
        private long mOrder;
        private int mLeader;
        private long mTerm = 1;
        private double mLoss;
        private long mDelay = STEP;
        private long mHighest;
        private HostId mLastHolder;
        private int mGrants;

        World(long seed, int holders) {
            mRandom = new Random(seed);
            mHosts = IntStream.range(0, HOSTS).mapToObj(n -> new Host(this, n)).toList();
            mHolders = IntStream.range(0, holders).mapToObj(n -> new Holder(this, n)).toList();
            mHosts.get(0).mBelieves = true;
            mHosts.get(0).mOwnTerm = mTerm;
        }

        void at(long time, Runnable action) {
            mEvents.add(new Event(time, mOrder++, action));
        }

        void fault() {
            Holder holder = mHolders.get(mRandom.nextInt(mHolders.size()));
            switch (mRandom.nextInt(12)) {
                case 0 -> elect(mRandom.nextInt(HOSTS), mRandom.nextBoolean());
                case 1, 2 -> holder.mIsCut = !holder.mIsCut;
                case 3, 4 -> holder.mDecisions.release(holder.effects());
                case 5, 6 -> holder.restart();
                default -> holder.mDecisions.want(holder.clock(), holder.effects());
            }
        }

        /** Another leader; what the old one had proposed is committed first, or lost. */
        void elect(int number, boolean oldKnows) {
            Host old = mHosts.get(mLeader);
            boolean isInherited = mRandom.nextBoolean();
            old.mProposed.forEach(
                    p -> {
                        if (isInherited) {
                            mLog.add(p.command());
                        }
                        p.done().failed(ErrorKind.COMMIT_UNKNOWN);
                    });
            old.mProposed.clear();
            mTerm++;
            mLeader = number;
            if (oldKnows || old.mNumber == number) {
                old.mBelieves = false;
            } else {
                at(mNow + TimeUnit.SECONDS.toNanos(1), () -> old.doubt());
            }
            Host host = mHosts.get(number);
            host.mBelieves = true;
            host.mOwnTerm = mTerm;
        }

        void run(long nanos) {
            for (long end = mNow + nanos; mNow < end; mNow += STEP) {
                while (!mEvents.isEmpty() && mEvents.peek().at() <= mNow) {
                    mEvents.remove().action().run();
                }
                mHosts.forEach(h -> h.mGranter.tick(h.clock(), h.effects()));
                mHolders.forEach(h -> h.mDecisions.tick(h.clock(), h.effects()));
                check();
            }
        }

        private void check() {
            List<Holder> held = mHolders.stream().filter(Holder::isHeld).toList();
            assertTrue(
                    held.size() <= 1, "two holders: " + held.stream().map(h -> h.mHost).toList());
            held.forEach(
                    holder -> {
                        long fencing = holder.mDecisions.fencing();
                        assertTrue(fencing >= mHighest, fencing + " after " + mHighest);
                        if (!holder.mHost.equals(mLastHolder)) {
                            assertTrue(fencing > mHighest, "the same number for two holders");
                            mGrants++;
                        }
                        mHighest = fencing;
                        mLastHolder = holder.mHost;
                    });
        }

        void send(Runnable deliver) {
            int copies = mRandom.nextDouble() < mLoss ? 0 : mRandom.nextDouble() < mLoss ? 2 : 1;
            IntStream.range(0, copies)
                    .forEach(i -> at(mNow + (long) (mRandom.nextDouble() * mDelay), deliver));
        }

        double speed() {
            return 1 + (2 * mRandom.nextDouble() - 1) * ConfigTiming.MAX_CLOCK_DRIFT;
        }
    }

    /** A control host. */
    private static final class Host implements Proposer, Leadership, QuorumRead {
        private final World mWorld;
        private final int mNumber;
        private final double mSpeed;
        private final LeaseTable mTable = LeaseTable.create();
        private final LeaseGranter mGranter;
        private final List<Proposal> mProposed = new ArrayList<>();
        private int mApplied;
        private boolean mBelieves;
        private long mOwnTerm;

        private record Proposal(byte[] command, Completion done) {}

        Host(World world, int number) {
            mWorld = world;
            mNumber = number;
            mSpeed = world.speed();
            mGranter = LeaseGranter.create(mTable, this, this, this, ConfigTiming.DEFAULT);
            mGranter.start(0);
        }

        long clock() {
            return (long) (mWorld.mNow * mSpeed);
        }

        boolean reallyLeads() {
            return mWorld.mLeader == mNumber && mOwnTerm == mWorld.mTerm;
        }

        void doubt() {
            mBelieves = reallyLeads();
        }

        byte[] follow() {
            byte[] result = null;
            while (mApplied < mWorld.mLog.size()) {
                result = mTable.apply(mApplied, mWorld.mLog.get(mApplied));
                mApplied++;
            }
            return result;
        }

        @Override
        public void propose(byte[] command, Completion done) {
            var proposal = new Proposal(command, done);
            mProposed.add(proposal);
            long delay = mWorld.mRandom.nextInt(20) * STEP;
            mWorld.at(mWorld.mNow + delay, () -> commit(proposal));
        }

        private void commit(Proposal proposal) {
            if (reallyLeads() && mProposed.remove(proposal)) {
                mWorld.mLog.add(proposal.command());
                byte[] result = follow();
                proposal.done().committed(mApplied, result);
            }
        }

        @Override
        public void read(Done done) {
            boolean led = reallyLeads();
            long term = mWorld.mTerm;
            mWorld.at(
                    mWorld.mNow + mWorld.mRandom.nextInt(10) * STEP,
                    () -> {
                        if (led && term == mWorld.mTerm) {
                            follow();
                            done.confirmed();
                        } else {
                            done.failed();
                        }
                    });
        }

        @Override
        public boolean isLeader(long nowNanos) {
            return mBelieves;
        }

        @Override
        public long term() {
            return mOwnTerm;
        }

        @Override
        public Optional<HostId> leader() {
            return Optional.of(HostId.of("control-" + mWorld.mLeader));
        }

        Effects effects() {
            return effect -> {
                if (effect instanceof Effect.Send send) {
                    mWorld.mHolders.stream()
                            .filter(h -> h.mHost.equals(send.to()))
                            .forEach(h -> mWorld.send(() -> h.receive(mNumber, send.message())));
                }
            };
        }

        void receive(HostId from, Message message) {
            if (message instanceof ConfigMessage.LeaseRequest request) {
                mGranter.handle(from, request, clock(), effects());
            } else if (message instanceof ConfigMessage.LeaseRelease release) {
                mGranter.handle(from, release, clock(), effects());
            }
        }
    }

    /** A process that wants the lease. */
    private static final class Holder {
        private final World mWorld;
        private final HostId mHost;
        private final double mSpeed;
        private LeaseHolder mDecisions;
        private boolean mIsCut;

        Holder(World world, int number) {
            mWorld = world;
            mHost = HostId.of("holder-" + number);
            mSpeed = world.speed();
            restart();
        }

        void restart() {
            Incarnation life = Incarnation.of(mWorld.mRandom.nextLong());
            List<HostId> hosts =
                    IntStream.range(0, HOSTS).mapToObj(n -> HostId.of("control-" + n)).toList();
            mDecisions = LeaseHolder.create(NAME, life, hosts, DURATION, mWorld.mRandom);
        }

        long clock() {
            return (long) (mWorld.mNow * mSpeed) - TimeUnit.DAYS.toNanos(1);
        }

        boolean isHeld() {
            return mDecisions.isHeld(clock());
        }

        Effects effects() {
            return effect -> {
                if (effect instanceof Effect.Send send && !mIsCut) {
                    int n = Integer.parseInt(send.to().value().substring("control-".length()));
                    Host host = mWorld.mHosts.get(n);
                    mWorld.send(() -> host.receive(mHost, send.message()));
                }
            };
        }

        void receive(int from, Message message) {
            if (!mIsCut) {
                mDecisions.handle(
                        HostId.of("control-" + from), (ConfigMessage) message, clock(), effects());
            }
        }
    }
}
