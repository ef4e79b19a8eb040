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
 * Control replicas and subscribers joined by links that lose, delay, double and reorder.
 *
 * <p>The replicated log is a list; a replica that is not cut follows it with a lag, and gets its
 * quorum confirmations. Time is virtual, and each subscriber's clock drifts within the bound.
 */
final class FakeFleet {
    static final long STEP = TimeUnit.MILLISECONDS.toNanos(5);
    static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final Random mRandom;
    private final List<Replica> mReplicas;
    private final List<Subscriber> mSubscribers;
    private final PriorityQueue<Event> mEvents = new PriorityQueue<>();
    private final List<byte[]> mLog = new ArrayList<>();
    private final List<Long> mAcceptedAt = new ArrayList<>(List.of(0L));
    private final List<Map<ObjectName, ConfigObject>> mVersions =
            new ArrayList<>(List.of(Map.of()));
    private final TicketOracle mOracle = new TicketOracle();
    private long mNow;
    private long mOrder;
    private long mSlowest;

    /** Share of messages that are lost, and of those that are doubled. */
    double mLoss;

    /** Longest delay of a message. */
    long mDelay = TimeUnit.MILLISECONDS.toNanos(3);

    /** Whether subscriber s can't send to replica r, and whether it can't hear from it. */
    final boolean[][] mCutTo;

    final boolean[][] mCutFrom;

    private record Event(long at, long order, LongConsumer action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return at != other.at ? Long.compare(at, other.at) : Long.compare(order, other.order);
        }
    }

    FakeFleet(int replicas, int subscribers, Random random) {
        mRandom = random;
        mReplicas = IntStream.range(0, replicas).mapToObj(Replica::new).toList();
        mSubscribers = IntStream.range(0, subscribers).mapToObj(Subscriber::new).toList();
        mCutTo = new boolean[subscribers][replicas];
        mCutFrom = new boolean[subscribers][replicas];
    }

    List<Replica> replicas() {
        return mReplicas;
    }

    List<Subscriber> subscribers() {
        return mSubscribers;
    }

    long now() {
        return mNow;
    }

    TicketOracle oracle() {
        return mOracle;
    }

    /** Returns the longest time that a version took from accept to a fresh subscriber. */
    long slowest() {
        return mSlowest;
    }

    private void at(long time, LongConsumer action) {
        mEvents.add(new Event(time, mOrder++, action));
    }

    /** Commits a ticket if a quorum of replicas is not cut. */
    void commit(Ticket ticket) {
        long connected = mReplicas.stream().filter(r -> !r.mIsCut).count();
        if (connected * 2 <= mReplicas.size()) {
            return;
        }
        long before = mOracle.version();
        mOracle.apply(ticket);
        mLog.add(new ConfigCommand.ApplyTicket(ticket).encode());
        if (mOracle.version() > before) {
            mAcceptedAt.add(mNow);
            mVersions.add(mOracle.objects());
        }
        mReplicas.forEach(r -> at(mNow + mRandom.nextInt(50) * STEP / 10, t -> r.follow()));
    }

    void run(long nanos) {
        for (long end = mNow + nanos; mNow < end; mNow += STEP) {
            while (!mEvents.isEmpty() && mEvents.peek().at() <= mNow) {
                mEvents.remove().action().accept(mNow);
            }
            mReplicas.forEach(Replica::tick);
            mSubscribers.forEach(Subscriber::tick);
        }
    }

    private void send(boolean[][] cut, int s, int r, Runnable deliver) {
        int copies = mRandom.nextDouble() < mLoss ? 0 : mRandom.nextDouble() < mLoss ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            at(
                    mNow + (long) (mRandom.nextDouble() * mDelay),
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
        boolean mIsCut;

        Replica(int number) {
            mNumber = number;
            restart();
        }

        HostId host() {
            return HostId.of("control-" + mNumber);
        }

        /** Restarts from a snapshot of the state. */
        void restart() {
            ConfigState restored = ConfigState.create();
            restored.restore(mState.snapshot());
            mState = restored;
            mPublisher = ConfigPublisher.create(mState, this::read, ConfigTiming.DEFAULT);
            mPublisher.start(mNow);
        }

        void stop() {
            mPublisher.stop(effects());
        }

        private void follow() {
            if (!mIsCut) {
                applyTo(mLog.size());
            }
        }

        private void applyTo(int length) {
            while (mApplied < length) {
                mState.apply(mApplied, mLog.get(mApplied));
                mApplied++;
            }
        }

        /** Confirms what was committed when the confirmation began, and no more. */
        private void read(QuorumRead.Done done) {
            int committed = mLog.size();
            boolean wasCut = mIsCut;
            at(
                    mNow + mRandom.nextInt(10) * STEP,
                    t -> {
                        if (!wasCut && !mIsCut) {
                            applyTo(committed);
                            done.confirmed();
                        } else if (mRandom.nextBoolean()) {
                            done.failed();
                        }
                    });
        }

        private void tick() {
            mPublisher.tick(mNow, effects());
        }

        private Effects effects() {
            return effect -> {
                if (effect instanceof Effect.Send send) {
                    int s = Integer.parseInt(send.to().value().substring("subscriber-".length()));
                    Subscriber to = mSubscribers.get(s);
                    send(mCutFrom, s, mNumber, () -> to.receive(host(), send.message()));
                }
            };
        }

        private void receive(HostId from, Message message) {
            var subscribe = (ConfigMessage.Subscribe) message;
            mPublisher.handle(from, subscribe, mNow, effects());
        }

        void lose(Subscriber subscriber) {
            mPublisher.peerLost(subscriber.host());
        }
    }

    /** An entry or agent. */
    final class Subscriber {
        private final int mNumber;
        private final double mSpeed;
        private final long mOffset;
        private final ConfigSubscriber mDecisions;
        private long mVersion;

        Subscriber(int number) {
            mNumber = number;
            mSpeed = 1 + (2 * mRandom.nextDouble() - 1) * ConfigTiming.MAX_CLOCK_DRIFT;
            mOffset = mRandom.nextInt() * SECOND;
            List<ControlHost> hosts =
                    mReplicas.stream()
                            .map(r -> ControlHost.of(r.host(), centre(r.mNumber), "10.0.0.1:1"))
                            .toList();
            mDecisions =
                    ConfigSubscriber.create(centre(number), hosts, ConfigTiming.DEFAULT, mRandom);
            at(0, t -> mDecisions.start(clock(), effects()));
        }

        private DataCentre centre(int number) {
            return DataCentre.of("centre-" + number % mReplicas.size());
        }

        HostId host() {
            return HostId.of("subscriber-" + mNumber);
        }

        ConfigView view() {
            return mDecisions.view();
        }

        HostId current() {
            return mDecisions.current();
        }

        boolean isFresh() {
            return mDecisions.isFresh(clock());
        }

        private long clock() {
            return mOffset + (long) (mNow * mSpeed);
        }

        private void tick() {
            if (mDecisions.nextTickNanos() <= clock()) {
                mDecisions.tick(clock(), effects());
            }
            check();
        }

        void lose(Replica replica) {
            mDecisions.peerLost(replica.host(), clock(), effects());
        }

        private void receive(HostId from, Message message) {
            mDecisions.handle(from, (ConfigMessage) message, clock(), effects());
            check();
        }

        private Effects effects() {
            return effect -> {
                if (effect instanceof Effect.Send send) {
                    int r = Integer.parseInt(send.to().value().substring("control-".length()));
                    Replica to = mReplicas.get(r);
                    send(mCutTo, mNumber, r, () -> to.receive(host(), send.message()));
                }
            };
        }

        /** Never back, always a whole accepted version, and never fresh beyond the bound. */
        private void check() {
            ConfigView view = mDecisions.view();
            int version = (int) view.version();
            if (version != mVersion) {
                assertTrue(version > mVersion, "back to " + version + " from " + mVersion);
                assertTrue(version < mVersions.size(), "version was never accepted");
                assertEquals(objects(view), mVersions.get(version));
                mSlowest = Math.max(mSlowest, mNow - mAcceptedAt.get((int) mVersion + 1));
                mVersion = version;
            }
            if (isFresh() && version + 1 < mVersions.size()) {
                long age = mNow - mAcceptedAt.get(version + 1);
                assertTrue(age <= ConfigTiming.DEFAULT.freshNanos(), "fresh, but old: " + age);
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
