package org.coltsfootproxy.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;

/**
 * Drives a few nodes in virtual time and carries their messages over a link that a test can break.
 *
 * <p>All that happens is decided by the seed.
 */
public final class VirtualFleet {
    /** Decides what becomes of one message. */
    @FunctionalInterface
    public interface Link {
        /** Returns the delays, in nanoseconds, after which copies of the message arrive. */
        List<Long> deliveries(HostId from, Effect.Send send, long nowNanos);
    }

    /** Carries out the effects of a node that are not messages. */
    @FunctionalInterface
    public interface Outside {
        /** Carries out one effect of the node on {@code host}. */
        void carryOut(HostId host, Effect effect, long nowNanos);
    }

    private static final long LINK_NANOS = 1_500_000;
    private static final long SYNC_NANOS = 200_000;
    private static final long DETECT_NANOS = 1_500_000_000;

    private record Step(long time, long sequence, Runnable action) {}

    private record Pair(HostId one, HostId other) {
        static Pair of(HostId a, HostId b) {
            return a.compareTo(b) < 0 ? new Pair(a, b) : new Pair(b, a);
        }
    }

    private static final class Member {
        private Node mNode;
        private Incarnation mIncarnation;
        private long mTickAt = Node.NEVER;
    }

    private final PriorityQueue<Step> mSteps =
            new PriorityQueue<>(
                    java.util.Comparator.comparingLong(Step::time)
                            .thenComparingLong(Step::sequence));
    private final Map<HostId, Member> mMembers = new HashMap<>();
    private final Set<Pair> mConnected = new HashSet<>();
    private final Map<HostId, List<Effect.Persist>> mStored = new HashMap<>();
    private final Set<Pair> mCut = new HashSet<>();
    private final Random mRandom;
    private final Outside mOutside;
    private Link mLink = (from, send, now) -> List.of(LINK_NANOS);
    private long mNow = 1;
    private long mSequence;

    /** Creates a fleet without nodes. */
    public VirtualFleet(long seed, Outside outside) {
        mRandom = new Random(seed);
        mOutside = outside;
    }

    public long now() {
        return mNow;
    }

    public Random random() {
        return mRandom;
    }

    public void link(Link link) {
        mLink = link;
    }

    /** Starts a node, or a new life of it. */
    public void start(HostId host, Incarnation incarnation, Node node) {
        Member member = new Member();
        member.mNode = node;
        member.mIncarnation = incarnation;
        mMembers.put(host, member);
        node.start(mNow, effect -> carryOut(host, effect));
        plan(host, member);
    }

    /** Ends a node at once; its peers notice later. */
    public void crash(HostId host) {
        mMembers.remove(host);
        List<Pair> lost = mConnected.stream().filter(p -> has(p, host)).toList();
        lost.forEach(this::disconnectLater);
    }

    private static boolean has(Pair pair, HostId host) {
        return pair.one().equals(host) || pair.other().equals(host);
    }

    /** Cuts two hosts off from each other in silence. */
    public void cut(HostId a, HostId b) {
        Pair pair = Pair.of(a, b);
        mCut.add(pair);
        if (mConnected.contains(pair)) {
            disconnectLater(pair);
        }
    }

    public void heal(HostId a, HostId b) {
        mCut.remove(Pair.of(a, b));
    }

    private void disconnectLater(Pair pair) {
        mConnected.remove(pair);
        after(
                DETECT_NANOS,
                () -> {
                    deliver(pair.one(), new Input.PeerLost(pair.other()));
                    deliver(pair.other(), new Input.PeerLost(pair.one()));
                });
    }

    /** Does something later. */
    public void after(long nanos, Runnable action) {
        mSteps.add(new Step(mNow + nanos, mSequence++, action));
    }

    /** Hands an input to a node now. */
    public void deliver(HostId host, Input input) {
        Member member = mMembers.get(host);
        if (member != null) {
            member.mNode.handle(input, mNow, effect -> carryOut(host, effect));
            plan(host, member);
        }
    }

    private void plan(HostId host, Member member) {
        long next = Math.max(mNow, member.mNode.nextTickNanos());
        if (next != Node.NEVER && next != member.mTickAt) {
            member.mTickAt = next;
            mSteps.add(new Step(next, mSequence++, () -> tick(host, member, next)));
        }
    }

    private void tick(HostId host, Member member, long planned) {
        if (mMembers.get(host) == member && member.mTickAt == planned) {
            member.mTickAt = Node.NEVER;
            if (member.mNode.nextTickNanos() <= mNow) {
                member.mNode.tick(mNow, effect -> carryOut(host, effect));
            }
            plan(host, member);
        }
    }

    private void carryOut(HostId host, Effect effect) {
        if (effect instanceof Effect.Send send) {
            send(host, send);
        } else if (effect instanceof Effect.Persist persist) {
            Member life = mMembers.get(host);
            after(SYNC_NANOS, () -> persisted(host, life, persist));
        } else {
            mOutside.carryOut(host, effect, mNow);
        }
    }

    /** A write that a crash overtakes is lost. */
    private void persisted(HostId host, Member life, Effect.Persist persist) {
        if (mMembers.get(host) == life) {
            mStored.computeIfAbsent(host, h -> new ArrayList<>()).add(persist);
            deliver(host, new Input.Persisted(persist.group(), persist.token()));
        }
    }

    /** Returns what a host has synced, in order. */
    public List<Effect.Persist> stored(HostId host) {
        return List.copyOf(mStored.getOrDefault(host, List.of()));
    }

    private void send(HostId from, Effect.Send send) {
        Pair pair = Pair.of(from, send.to());
        if (mCut.contains(pair) || !mMembers.containsKey(send.to())) {
            return;
        }
        if (mConnected.add(pair)) {
            after(0, () -> connected(from, send.to()));
        }
        for (long delay : mLink.deliveries(from, send, mNow)) {
            Member meant = mMembers.get(send.to());
            after(delay, () -> arrive(from, send, meant, pair));
        }
    }

    /** A connection ends with a life, so a message never reaches a later one. */
    private void arrive(HostId from, Effect.Send send, Member meant, Pair pair) {
        if (!mCut.contains(pair) && mMembers.get(send.to()) == meant) {
            deliver(send.to(), new Input.FromPeer(from, send.message()));
        }
    }

    private void connected(HostId a, HostId b) {
        Member first = mMembers.get(a);
        Member second = mMembers.get(b);
        if (first != null && second != null) {
            deliver(a, new Input.PeerUp(b, second.mIncarnation));
            deliver(b, new Input.PeerUp(a, first.mIncarnation));
        }
    }

    /** Lets virtual time pass. */
    public void run(long nanos) {
        long end = mNow + nanos;
        while (!mSteps.isEmpty() && mSteps.peek().time() <= end) {
            Step step = mSteps.remove();
            mNow = Math.max(mNow, step.time());
            step.action().run();
        }
        mNow = end;
    }

    /** Returns the hosts that are up. */
    public List<HostId> hosts() {
        return new ArrayList<>(mMembers.keySet());
    }
}
