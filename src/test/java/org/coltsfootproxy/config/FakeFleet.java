package org.coltsfootproxy.config;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;
import java.util.stream.IntStream;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.message.ConfigMessage;
import org.coltsfootproxy.message.Message;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;

/**
 * Simulates control replicas and subscribers, joined by links that lose, delay, duplicate and
 * reorder messages.
 *
 * <p>The replicated log is a list. A replica that is not partitioned applies it with a lag and gets
 * its quorum confirmations. Time is virtual, and the clock of each subscriber drifts within the
 * bound.
 */
final class FakeFleet {
    static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(5);
    static final long SECOND_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final Random mRandom;
    private final List<Replica> mReplicas;
    private final List<Subscriber> mSubscribers;
    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private final List<byte[]> mLog = new ArrayList<>();
    private final List<Long> mAcceptedNanos = new ArrayList<>(List.of(0L));
    private final List<Map<ObjectName, ConfigObject>> mObjectsByVersion =
            new ArrayList<>(List.of(Map.of()));
    private final TicketOracle mOracle = new TicketOracle();
    private long mNowNanos;
    private long mEventCount;
    private long mMaxPropagationNanos;

    /** Probability that a message is lost, and that one that is not lost is duplicated. */
    double mLossRate;

    /** Maximum delay of a message, in nanoseconds. */
    long mMaxDelayNanos = TimeUnit.MILLISECONDS.toNanos(3);

    /** Whether messages from subscriber s to replica r are dropped, indexed by s and r. */
    final boolean[][] mIsCutToReplica;

    /** Whether messages from replica r to subscriber s are dropped, indexed by s and r. */
    final boolean[][] mIsCutFromReplica;

    private record Event(long timeNanos, long order, LongConsumer action)
            implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return timeNanos != other.timeNanos
                    ? Long.compare(timeNanos, other.timeNanos)
                    : Long.compare(order, other.order);
        }
    }

    FakeFleet(int replicas, int subscribers, Random random) {
        mRandom = random;
        mReplicas = IntStream.range(0, replicas).mapToObj(Replica::new).toList();
        mSubscribers = IntStream.range(0, subscribers).mapToObj(Subscriber::new).toList();
        mIsCutToReplica = new boolean[subscribers][replicas];
        mIsCutFromReplica = new boolean[subscribers][replicas];
    }

    List<Replica> replicas() {
        return mReplicas;
    }

    List<Subscriber> subscribers() {
        return mSubscribers;
    }

    long nowNanos() {
        return mNowNanos;
    }

    TicketOracle oracle() {
        return mOracle;
    }

    /**
     * Returns the longest time, in nanoseconds, from the acceptance of a version until a subscriber
     * had it.
     */
    long maxPropagationNanos() {
        return mMaxPropagationNanos;
    }

    private void schedule(long timeNanos, LongConsumer action) {
        mEvents.add(new Event(timeNanos, mEventCount++, action));
    }

    /** Commits a ticket if a quorum of replicas is not partitioned. */
    void commit(Ticket ticket) {
        long connected = mReplicas.stream().filter(r -> !r.mIsPartitioned).count();
        if (connected * 2 <= mReplicas.size()) {
            return;
        }
        long before = mOracle.version();
        mOracle.apply(ticket);
        mLog.add(new ConfigCommand.ApplyTicket(ticket).encode());
        if (mOracle.version() > before) {
            mAcceptedNanos.add(mNowNanos);
            mObjectsByVersion.add(mOracle.objects());
        }
        mReplicas.forEach(
                r -> schedule(mNowNanos + mRandom.nextInt(50) * STEP_NANOS / 10, t -> r.catchUp()));
    }

    void run(long nanos) {
        for (long end = mNowNanos + nanos; mNowNanos < end; mNowNanos += STEP_NANOS) {
            while (!mEvents.isEmpty() && mEvents.peek().timeNanos() <= mNowNanos) {
                mEvents.remove().action().accept(mNowNanos);
            }
            mReplicas.forEach(Replica::tick);
            mSubscribers.forEach(Subscriber::tick);
        }
    }

    private void send(boolean[][] cut, int s, int r, Runnable deliver) {
        int copies =
                mRandom.nextDouble() < mLossRate ? 0 : mRandom.nextDouble() < mLossRate ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            schedule(
                    mNowNanos + (long) (mRandom.nextDouble() * mMaxDelayNanos),
                    t -> {
                        if (!cut[s][r]) {
                            deliver.run();
                        }
                    });
        }
    }

    /** A control host. */
    final class Replica {
        private final int mNumber;
        private ConfigState mState = ConfigState.create();
        private ConfigPublisher mPublisher;
        private int mApplied;
        boolean mIsPartitioned;

        Replica(int number) {
            mNumber = number;
            restart();
        }

        HostId host() {
            return HostId.of("control-" + mNumber);
        }

        /** Restarts with a state restored from its snapshot. */
        void restart() {
            ConfigState restored = ConfigState.create();
            restored.restore(mState.snapshot());
            mState = restored;
            mPublisher = ConfigPublisher.create(mState, this::read, ConfigTiming.DEFAULT);
            mPublisher.start(mNowNanos);
        }

        void stop() {
            mPublisher.stop(effects());
        }

        private void catchUp() {
            if (!mIsPartitioned) {
                applyUpTo(mLog.size());
            }
        }

        private void applyUpTo(int length) {
            while (mApplied < length) {
                mState.apply(mApplied, mLog.get(mApplied));
                mApplied++;
            }
        }

        /** Confirms only what was committed when the confirmation began. */
        private void read(QuorumRead.Callback callback) {
            int committed = mLog.size();
            boolean wasPartitioned = mIsPartitioned;
            schedule(
                    mNowNanos + mRandom.nextInt(10) * STEP_NANOS,
                    t -> {
                        if (!wasPartitioned && !mIsPartitioned) {
                            applyUpTo(committed);
                            callback.confirmed();
                        } else if (mRandom.nextBoolean()) {
                            callback.failed();
                        }
                    });
        }

        private void tick() {
            mPublisher.tick(mNowNanos, effects());
        }

        private Effects effects() {
            return effect -> {
                if (effect instanceof Effect.Send send) {
                    int s = Integer.parseInt(send.to().value().substring("subscriber-".length()));
                    Subscriber to = mSubscribers.get(s);
                    send(mIsCutFromReplica, s, mNumber, () -> to.receive(host(), send.message()));
                }
            };
        }

        private void receive(HostId from, Message message) {
            var subscribe = (ConfigMessage.Subscribe) message;
            mPublisher.handle(from, subscribe, mNowNanos, effects());
        }

        void loseConnection(Subscriber subscriber) {
            mPublisher.peerLost(subscriber.host());
        }
    }

    /** A host that subscribes, such as an entry or agent. */
    final class Subscriber {
        private final int mNumber;
        private final double mClockRate;
        private final long mClockOffsetNanos;
        private final ConfigSubscriber mConfigSubscriber;
        private long mVersion;

        Subscriber(int number) {
            mNumber = number;
            mClockRate = 1 + (2 * mRandom.nextDouble() - 1) * ConfigTiming.MAX_CLOCK_DRIFT;
            mClockOffsetNanos = mRandom.nextInt() * SECOND_NANOS;
            List<ControlHost> hosts =
                    mReplicas.stream()
                            .map(r -> ControlHost.of(r.host(), dataCentre(r.mNumber), "10.0.0.1:1"))
                            .toList();
            mConfigSubscriber =
                    ConfigSubscriber.create(
                            dataCentre(number), hosts, ConfigTiming.DEFAULT, mRandom);
            schedule(0, t -> mConfigSubscriber.start(clockNanos(), effects()));
        }

        private DataCentre dataCentre(int number) {
            return DataCentre.of("centre-" + number % mReplicas.size());
        }

        HostId host() {
            return HostId.of("subscriber-" + mNumber);
        }

        ConfigView view() {
            return mConfigSubscriber.view();
        }

        HostId current() {
            return mConfigSubscriber.current();
        }

        boolean isFresh() {
            return mConfigSubscriber.isFresh(clockNanos());
        }

        private long clockNanos() {
            return mClockOffsetNanos + (long) (mNowNanos * mClockRate);
        }

        private void tick() {
            if (mConfigSubscriber.nextTickNanos() <= clockNanos()) {
                mConfigSubscriber.tick(clockNanos(), effects());
            }
            checkInvariants();
        }

        void loseConnection(Replica replica) {
            mConfigSubscriber.peerLost(replica.host(), clockNanos(), effects());
        }

        private void receive(HostId from, Message message) {
            mConfigSubscriber.handle(from, (ConfigMessage) message, clockNanos(), effects());
            checkInvariants();
        }

        private Effects effects() {
            return effect -> {
                if (effect instanceof Effect.Send send) {
                    int r = Integer.parseInt(send.to().value().substring("control-".length()));
                    Replica to = mReplicas.get(r);
                    send(mIsCutToReplica, mNumber, r, () -> to.receive(host(), send.message()));
                }
            };
        }

        /**
         * Checks that the version never decreases, that the view is exactly an accepted version,
         * and that it is never fresh beyond the bound.
         */
        private void checkInvariants() {
            ConfigView view = mConfigSubscriber.view();
            int version = (int) view.version();
            if (version != mVersion) {
                assertTrue(version > mVersion, "reverted to " + version + " from " + mVersion);
                assertTrue(version < mObjectsByVersion.size(), "version was never accepted");
                assertEquals(objects(view), mObjectsByVersion.get(version));
                mMaxPropagationNanos =
                        Math.max(
                                mMaxPropagationNanos,
                                mNowNanos - mAcceptedNanos.get((int) mVersion + 1));
                mVersion = version;
            }
            if (isFresh() && version + 1 < mObjectsByVersion.size()) {
                long age = mNowNanos - mAcceptedNanos.get(version + 1);
                assertTrue(
                        age <= ConfigTiming.DEFAULT.freshNanos(),
                        "view is still fresh; ns since the next version was accepted: " + age);
            }
        }

        private Map<ObjectName, ConfigObject> objects(ConfigView view) {
            Map<ObjectName, ConfigObject> objects = new TreeMap<>();
            view.organisations().forEach(o -> objects.put(o.objectName(), o));
            view.keys().forEach(o -> objects.put(o.objectName(), o));
            view.services().forEach(o -> objects.put(o.objectName(), o));
            view.routes().forEach(o -> objects.put(o.objectName(), o));
            return objects;
        }
    }
}
