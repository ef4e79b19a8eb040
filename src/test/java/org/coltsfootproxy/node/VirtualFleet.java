package org.coltsfootproxy.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.coltsfootproxy.base.ErrorKind;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;

/**
 * Runs several nodes in virtual time, with a simulated network whose faults a test controls.
 *
 * <p>A run is deterministic: it depends only on the seed and on the calls of the test.
 */
public final class VirtualFleet {
    /** Decides when a message is delivered, and how often. */
    @FunctionalInterface
    public interface Link {
        /** Returns one delay in nanoseconds for each copy to deliver; empty to lose the message. */
        List<Long> deliveries(HostId from, Effect.Send send, long nowNanos);
    }

    /** Executes the effects of nodes other than messages and writes. */
    @FunctionalInterface
    public interface EffectHandler {
        /** Executes one effect of the node on {@code host}. */
        void execute(HostId host, Effect effect, long nowNanos);
    }

    private static final long LINK_DELAY_NANOS = 1_500_000;
    private static final long SYNC_DELAY_NANOS = 200_000;
    private static final long PEER_LOSS_DETECTION_NANOS = 1_500_000_000;

    private record ScheduledAction(long time, long sequence, Runnable action) {}

    private record HostPair(HostId one, HostId other) {
        static HostPair of(HostId a, HostId b) {
            return a.compareTo(b) < 0 ? new HostPair(a, b) : new HostPair(b, a);
        }
    }

    private record WrittenGroup(HostId host, int group) {}

    private static final class Instance {
        private Node mNode;
        private Incarnation mIncarnation;
        private long mTickNanos = Node.NEVER;
    }

    private final PriorityQueue<ScheduledAction> mSchedule =
            new PriorityQueue<>(
                    java.util.Comparator.comparingLong(ScheduledAction::time)
                            .thenComparingLong(ScheduledAction::sequence));
    private final Map<HostId, Instance> mInstances = new HashMap<>();
    private final Set<HostPair> mConnected = new HashSet<>();
    private final Map<HostId, List<Effect.Persist>> mSyncedWrites = new HashMap<>();
    private final Set<HostId> mFullDisks = new HashSet<>();
    private final Map<WrittenGroup, Long> mRefusedAt = new HashMap<>();
    private final Set<HostPair> mPartitioned = new HashSet<>();
    private final Random mRandom;
    private final EffectHandler mEffectHandler;
    private Link mLink = (from, send, now) -> List.of(LINK_DELAY_NANOS);
    private long mNow = 1;
    private long mSequence;

    /** Creates a fleet without nodes. */
    public VirtualFleet(long seed, EffectHandler effectHandler) {
        mRandom = new Random(seed);
        mEffectHandler = effectHandler;
    }

    public long now() {
        return mNow;
    }

    public Random random() {
        return mRandom;
    }

    public void setLink(Link link) {
        mLink = link;
    }

    /** Starts a node; replaces an earlier instance of it. */
    public void start(HostId host, Incarnation incarnation, Node node) {
        Instance instance = new Instance();
        instance.mNode = node;
        instance.mIncarnation = incarnation;
        mInstances.put(host, instance);
        node.start(mNow, effect -> execute(host, effect));
        scheduleTick(host, instance);
    }

    /** Stops a node at once. Its peers get {@link Input.PeerLost} after the detection time. */
    public void crash(HostId host) {
        mInstances.remove(host);
        List<HostPair> lost = mConnected.stream().filter(p -> has(p, host)).toList();
        lost.forEach(this::scheduleDisconnect);
    }

    private static boolean has(HostPair pair, HostId host) {
        return pair.one().equals(host) || pair.other().equals(host);
    }

    /**
     * Partitions two hosts from each other. If they were connected, both get {@link Input.PeerLost}
     * after the detection time.
     */
    public void partition(HostId a, HostId b) {
        HostPair pair = HostPair.of(a, b);
        mPartitioned.add(pair);
        if (mConnected.contains(pair)) {
            scheduleDisconnect(pair);
        }
    }

    public void heal(HostId a, HostId b) {
        mPartitioned.remove(HostPair.of(a, b));
    }

    private void scheduleDisconnect(HostPair pair) {
        mConnected.remove(pair);
        after(
                PEER_LOSS_DETECTION_NANOS,
                () -> {
                    deliver(pair.one(), new Input.PeerLost(pair.other()));
                    deliver(pair.other(), new Input.PeerLost(pair.one()));
                });
    }

    /** Sets whether the disk of a host is full, so that it refuses all writes. */
    public void setDiskFull(HostId host, boolean isFull) {
        if (isFull) {
            mFullDisks.add(host);
        } else {
            mFullDisks.remove(host);
        }
    }

    /** Schedules an action after a delay in nanoseconds. */
    public void after(long nanos, Runnable action) {
        mSchedule.add(new ScheduledAction(mNow + nanos, mSequence++, action));
    }

    /** Delivers an input to a node now; does nothing if the node is stopped. */
    public void deliver(HostId host, Input input) {
        Instance instance = mInstances.get(host);
        if (instance != null) {
            instance.mNode.handle(input, mNow, effect -> execute(host, effect));
            scheduleTick(host, instance);
        }
    }

    private void scheduleTick(HostId host, Instance instance) {
        long next = Math.max(mNow, instance.mNode.nextTickNanos());
        if (next != Node.NEVER && next != instance.mTickNanos) {
            instance.mTickNanos = next;
            mSchedule.add(new ScheduledAction(next, mSequence++, () -> tick(host, instance, next)));
        }
    }

    private void tick(HostId host, Instance instance, long scheduledNanos) {
        if (mInstances.get(host) == instance && instance.mTickNanos == scheduledNanos) {
            instance.mTickNanos = Node.NEVER;
            if (instance.mNode.nextTickNanos() <= mNow) {
                instance.mNode.tick(mNow, effect -> execute(host, effect));
            }
            scheduleTick(host, instance);
        }
    }

    private void execute(HostId host, Effect effect) {
        if (effect instanceof Effect.Send send) {
            send(host, send);
        } else if (effect instanceof Effect.Persist persist) {
            Instance writer = mInstances.get(host);
            long issuedAt = mNow;
            after(SYNC_DELAY_NANOS, () -> completeWrite(host, writer, persist, issuedAt));
        } else {
            mEffectHandler.execute(host, effect, mNow);
        }
    }

    /**
     * Completes a write unless the node crashed or restarted since; then the write is lost. After a
     * write that a full disk refuses, those that were issued before are dropped.
     */
    private void completeWrite(
            HostId host, Instance writer, Effect.Persist persist, long issuedAt) {
        var group = new WrittenGroup(host, persist.group());
        if (mInstances.get(host) != writer || issuedAt < mRefusedAt.getOrDefault(group, 0L)) {
            return;
        }
        if (mFullDisks.contains(host)) {
            mRefusedAt.put(group, mNow);
            String detail = "no space left";
            deliver(
                    host,
                    new Input.PersistFailed(
                            persist.group(), persist.token(), ErrorKind.STORAGE_FULL, detail));
            return;
        }
        mSyncedWrites.computeIfAbsent(host, h -> new ArrayList<>()).add(persist);
        deliver(host, new Input.Persisted(persist.group(), persist.token()));
    }

    /** Returns the writes that a host has synced, in order. */
    public List<Effect.Persist> syncedWrites(HostId host) {
        return List.copyOf(mSyncedWrites.getOrDefault(host, List.of()));
    }

    private void send(HostId from, Effect.Send send) {
        HostPair pair = HostPair.of(from, send.to());
        if (mPartitioned.contains(pair) || !mInstances.containsKey(send.to())) {
            return;
        }
        if (mConnected.add(pair)) {
            after(0, () -> notifyConnected(from, send.to()));
        }
        for (long delay : mLink.deliveries(from, send, mNow)) {
            Instance receiver = mInstances.get(send.to());
            after(delay, () -> deliverMessage(from, send, receiver, pair));
        }
    }

    /**
     * Delivers a message unless the receiver crashed or restarted since, which ends connections.
     */
    private void deliverMessage(HostId from, Effect.Send send, Instance receiver, HostPair pair) {
        if (!mPartitioned.contains(pair) && mInstances.get(send.to()) == receiver) {
            deliver(send.to(), new Input.FromPeer(from, send.message()));
        }
    }

    private void notifyConnected(HostId a, HostId b) {
        Instance first = mInstances.get(a);
        Instance second = mInstances.get(b);
        if (first != null && second != null) {
            deliver(a, new Input.PeerUp(b, second.mIncarnation));
            deliver(b, new Input.PeerUp(a, first.mIncarnation));
        }
    }

    /** Advances virtual time by {@code nanos} and runs what falls due. */
    public void run(long nanos) {
        long end = mNow + nanos;
        while (!mSchedule.isEmpty() && mSchedule.peek().time() <= end) {
            ScheduledAction due = mSchedule.remove();
            mNow = Math.max(mNow, due.time());
            due.action().run();
        }
        mNow = end;
    }

    /** Returns the hosts whose nodes run. */
    public List<HostId> hosts() {
        return new ArrayList<>(mInstances.keySet());
    }
}
