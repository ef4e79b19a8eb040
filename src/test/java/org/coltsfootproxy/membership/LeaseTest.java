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
 * Tests {@link LeaseHolder} with {@link LeaseGranter}: at most one process holds the lease under
 * message loss, partitions, leader changes and clock drift.
 *
 * <p>The replicated log is simulated by a list. A deposed leader may believe for up to 1 s that it
 * still leads; its pending proposals are either committed by its successor or lost.
 */
public final class LeaseTest {
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
    private static final int HOST_COUNT = 3;
    private static final Duration DURATION = Duration.ofSeconds(2);
    private static final String NAME = "limit-owner";

    @DataProvider
    public Object[][] seeds() {
        return LongStream.range(0, 20).mapToObj(s -> new Object[] {s}).toArray(Object[][]::new);
    }

    @Test(dataProvider = "seeds")
    public void atMostOneHolderAndEachGrantHasAHigherFencingNumber(long seed) {
        var simulation = new Simulation(seed, 4);
        simulation.mLossRate = 0.1;
        simulation.mMaxDelayNanos = TimeUnit.MILLISECONDS.toNanos(simulation.mRandom.nextInt(1000));
        for (int step = 0; step < 120; step++) {
            simulation.run(simulation.mRandom.nextInt(200) * STEP_NANOS);
            simulation.injectFault();
        }
        simulation.mLossRate = 0;
        simulation.mMaxDelayNanos = STEP_NANOS;
        simulation.elect(simulation.mRandom.nextInt(HOST_COUNT), true);
        simulation.mHolders.forEach(h -> h.mIsPartitioned = false);
        simulation.mHolders.forEach(h -> h.mLeaseHolder.acquire(h.clock(), h.effects()));
        simulation.run(TimeUnit.SECONDS.toNanos(10));
        long held = simulation.mHolders.stream().filter(Holder::isHeld).count();
        assertEquals(held, 1, "holders after all faults are healed");
        assertTrue(
                simulation.mGrants > 3, "seed " + seed + " made too few grants to be conclusive");
    }

    @Test
    public void aPartitionedHolderIsReplacedOnlyAfterItsLeaseExpires() {
        var simulation = new Simulation(1, 2);
        Holder first = simulation.mHolders.get(0);
        Holder second = simulation.mHolders.get(1);
        first.mLeaseHolder.acquire(first.clock(), first.effects());
        simulation.run(TimeUnit.SECONDS.toNanos(1));
        assertTrue(first.isHeld());
        long fencing = first.mLeaseHolder.fencing();
        second.mLeaseHolder.acquire(second.clock(), second.effects());
        first.mIsPartitioned = true;
        simulation.run(DURATION.toNanos() / 2);
        assertFalse(second.isHeld());
        simulation.run(DURATION.toNanos());
        assertTrue(second.isHeld());
        assertTrue(second.mLeaseHolder.fencing() > fencing);
        assertFalse(first.isHeld());
    }

    @Test
    public void aReleasedLeaseIsAvailableAtOnce() {
        var simulation = new Simulation(2, 2);
        Holder first = simulation.mHolders.get(0);
        Holder second = simulation.mHolders.get(1);
        first.mLeaseHolder.acquire(first.clock(), first.effects());
        simulation.run(TimeUnit.SECONDS.toNanos(1));
        assertTrue(first.isHeld());
        first.mLeaseHolder.release(first.effects());
        simulation.run(10 * STEP_NANOS);
        second.mLeaseHolder.acquire(second.clock(), second.effects());
        simulation.run(TimeUnit.MILLISECONDS.toNanos(500));
        assertTrue(second.isHeld());
    }

    @Test
    public void aNewLeaderWaitsForTheFullDurationOfALeaseItsPredecessorMayHaveRenewed() {
        var simulation = new Simulation(3, 2);
        Holder first = simulation.mHolders.get(0);
        Holder second = simulation.mHolders.get(1);
        first.mLeaseHolder.acquire(first.clock(), first.effects());
        simulation.run(TimeUnit.SECONDS.toNanos(1));
        assertTrue(first.isHeld());
        first.mIsPartitioned = true;
        simulation.elect(1, false);
        second.mLeaseHolder.acquire(second.clock(), second.effects());
        simulation.run(DURATION.toNanos() - 20 * STEP_NANOS);
        assertFalse(second.isHeld());
        simulation.run(TimeUnit.SECONDS.toNanos(1));
        assertTrue(second.isHeld());
    }

    @Test
    public void onlyOneOfTwoGrantsThatReplaceTheSameLeaseTakesEffect() {
        LeaseTable table = LeaseTable.create();
        for (String host : List.of("holder-1", "holder-2")) {
            HostId id = HostId.of(host);
            var grant = new LeaseCommand.Grant(NAME, id, Incarnation.of(1), 0, 1000);
            table.apply(1, grant.encode());
        }
        assertEquals(table.lease(NAME).orElseThrow().host(), HostId.of("holder-1"));
        table.apply(2, new LeaseCommand.End(NAME, 99).encode());
        assertTrue(
                table.lease(NAME).isPresent(),
                "the lease was ended by a command with a different fencing number");
    }

    private record Event(long at, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    /** Simulates control hosts, lease holders, the network and the log. */
    private static final class Simulation {
        private final Random mRandom;
        private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
        private final List<byte[]> mLog = new ArrayList<>();
        private final List<Host> mHosts;
        private final List<Holder> mHolders;
        private long mNowNanos;
        private long mOrder;
        private int mLeader;
        private long mTerm = 1;
        private double mLossRate;
        private long mMaxDelayNanos = STEP_NANOS;
        private long mHighestFencing;
        private HostId mLastHolder;
        private int mGrants;

        Simulation(long seed, int holders) {
            mRandom = new Random(seed);
            mHosts = IntStream.range(0, HOST_COUNT).mapToObj(n -> new Host(this, n)).toList();
            mHolders = IntStream.range(0, holders).mapToObj(n -> new Holder(this, n)).toList();
            mHosts.get(0).mBelievesLeading = true;
            mHosts.get(0).mOwnTerm = mTerm;
        }

        void at(long time, Runnable action) {
            mEvents.add(new Event(time, mOrder++, action));
        }

        void injectFault() {
            Holder holder = mHolders.get(mRandom.nextInt(mHolders.size()));
            switch (mRandom.nextInt(12)) {
                case 0 -> elect(mRandom.nextInt(HOST_COUNT), mRandom.nextBoolean());
                case 1, 2 -> holder.mIsPartitioned = !holder.mIsPartitioned;
                case 3, 4 -> holder.mLeaseHolder.release(holder.effects());
                case 5, 6 -> holder.restart();
                default -> holder.mLeaseHolder.acquire(holder.clock(), holder.effects());
            }
        }

        /**
         * Elects a leader; the old leader's pending proposals are either committed first or lost.
         */
        void elect(int number, boolean oldLeaderKnows) {
            Host old = mHosts.get(mLeader);
            boolean isCommittedBySuccessor = mRandom.nextBoolean();
            old.mPendingProposals.forEach(
                    p -> {
                        if (isCommittedBySuccessor) {
                            mLog.add(p.command());
                        }
                        p.done().failed(ErrorKind.COMMIT_UNKNOWN);
                    });
            old.mPendingProposals.clear();
            mTerm++;
            mLeader = number;
            if (oldLeaderKnows || old.mNumber == number) {
                old.mBelievesLeading = false;
            } else {
                at(mNowNanos + TimeUnit.SECONDS.toNanos(1), () -> old.recheckLeadership());
            }
            Host host = mHosts.get(number);
            host.mBelievesLeading = true;
            host.mOwnTerm = mTerm;
        }

        void run(long nanos) {
            for (long end = mNowNanos + nanos; mNowNanos < end; mNowNanos += STEP_NANOS) {
                while (!mEvents.isEmpty() && mEvents.peek().at() <= mNowNanos) {
                    mEvents.remove().action().run();
                }
                mHosts.forEach(h -> h.mGranter.tick(h.clock(), h.effects()));
                mHolders.forEach(h -> h.mLeaseHolder.tick(h.clock(), h.effects()));
                check();
            }
        }

        private void check() {
            List<Holder> held = mHolders.stream().filter(Holder::isHeld).toList();
            assertTrue(
                    held.size() <= 1, "two holders: " + held.stream().map(h -> h.mHost).toList());
            held.forEach(
                    holder -> {
                        long fencing = holder.mLeaseHolder.fencing();
                        assertTrue(
                                fencing >= mHighestFencing, fencing + " after " + mHighestFencing);
                        if (!holder.mHost.equals(mLastHolder)) {
                            assertTrue(
                                    fencing > mHighestFencing,
                                    "two holders have the same fencing number");
                            mGrants++;
                        }
                        mHighestFencing = fencing;
                        mLastHolder = holder.mHost;
                    });
        }

        void send(Runnable deliver) {
            int copies =
                    mRandom.nextDouble() < mLossRate ? 0 : mRandom.nextDouble() < mLossRate ? 2 : 1;
            IntStream.range(0, copies)
                    .forEach(
                            i ->
                                    at(
                                            mNowNanos
                                                    + (long)
                                                            (mRandom.nextDouble() * mMaxDelayNanos),
                                            deliver));
        }

        double randomClockRate() {
            return 1 + (2 * mRandom.nextDouble() - 1) * ConfigTiming.MAX_CLOCK_DRIFT;
        }
    }

    /** A control host with its copy of the lease table. */
    private static final class Host implements Proposer, Leadership, QuorumRead {
        private final Simulation mSimulation;
        private final int mNumber;
        private final double mClockRate;
        private final LeaseTable mTable = LeaseTable.create();
        private final LeaseGranter mGranter;
        private final List<Proposal> mPendingProposals = new ArrayList<>();
        private int mApplied;
        private boolean mBelievesLeading;
        private long mOwnTerm;

        private record Proposal(byte[] command, Completion done) {}

        Host(Simulation simulation, int number) {
            mSimulation = simulation;
            mNumber = number;
            mClockRate = simulation.randomClockRate();
            mGranter = LeaseGranter.create(mTable, this, this, this, ConfigTiming.DEFAULT);
            mGranter.start(0);
        }

        long clock() {
            return (long) (mSimulation.mNowNanos * mClockRate);
        }

        boolean isActualLeader() {
            return mSimulation.mLeader == mNumber && mOwnTerm == mSimulation.mTerm;
        }

        void recheckLeadership() {
            mBelievesLeading = isActualLeader();
        }

        byte[] applyLog() {
            byte[] result = null;
            while (mApplied < mSimulation.mLog.size()) {
                result = mTable.apply(mApplied, mSimulation.mLog.get(mApplied));
                mApplied++;
            }
            return result;
        }

        @Override
        public void propose(byte[] command, Completion done) {
            var proposal = new Proposal(command, done);
            mPendingProposals.add(proposal);
            long delay = mSimulation.mRandom.nextInt(20) * STEP_NANOS;
            mSimulation.at(mSimulation.mNowNanos + delay, () -> commit(proposal));
        }

        private void commit(Proposal proposal) {
            if (isActualLeader() && mPendingProposals.remove(proposal)) {
                mSimulation.mLog.add(proposal.command());
                byte[] result = applyLog();
                proposal.done().committed(mApplied, result);
            }
        }

        @Override
        public void read(Callback callback) {
            boolean wasLeader = isActualLeader();
            long term = mSimulation.mTerm;
            mSimulation.at(
                    mSimulation.mNowNanos + mSimulation.mRandom.nextInt(10) * STEP_NANOS,
                    () -> {
                        if (wasLeader && term == mSimulation.mTerm) {
                            applyLog();
                            callback.confirmed();
                        } else {
                            callback.failed();
                        }
                    });
        }

        @Override
        public boolean isLeader(long nowNanos) {
            return mBelievesLeading;
        }

        @Override
        public long term() {
            return mOwnTerm;
        }

        @Override
        public Optional<HostId> leader() {
            return Optional.of(HostId.of("control-" + mSimulation.mLeader));
        }

        Effects effects() {
            return effect -> {
                if (effect instanceof Effect.Send send) {
                    mSimulation.mHolders.stream()
                            .filter(h -> h.mHost.equals(send.to()))
                            .forEach(
                                    h ->
                                            mSimulation.send(
                                                    () -> h.receive(mNumber, send.message())));
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

    /** A process that requests the lease. */
    private static final class Holder {
        private final Simulation mSimulation;
        private final HostId mHost;
        private final double mClockRate;
        private LeaseHolder mLeaseHolder;
        private boolean mIsPartitioned;

        Holder(Simulation simulation, int number) {
            mSimulation = simulation;
            mHost = HostId.of("holder-" + number);
            mClockRate = simulation.randomClockRate();
            restart();
        }

        void restart() {
            Incarnation incarnation = Incarnation.of(mSimulation.mRandom.nextLong());
            List<HostId> hosts =
                    IntStream.range(0, HOST_COUNT)
                            .mapToObj(n -> HostId.of("control-" + n))
                            .toList();
            mLeaseHolder =
                    LeaseHolder.create(NAME, incarnation, hosts, DURATION, mSimulation.mRandom);
        }

        long clock() {
            return (long) (mSimulation.mNowNanos * mClockRate) - TimeUnit.DAYS.toNanos(1);
        }

        boolean isHeld() {
            return mLeaseHolder.isHeld(clock());
        }

        Effects effects() {
            return effect -> {
                if (effect instanceof Effect.Send send && !mIsPartitioned) {
                    int n = Integer.parseInt(send.to().value().substring("control-".length()));
                    Host host = mSimulation.mHosts.get(n);
                    mSimulation.send(() -> host.receive(mHost, send.message()));
                }
            };
        }

        void receive(int from, Message message) {
            if (!mIsPartitioned) {
                mLeaseHolder.handle(
                        HostId.of("control-" + from), (ConfigMessage) message, clock(), effects());
            }
        }
    }
}
