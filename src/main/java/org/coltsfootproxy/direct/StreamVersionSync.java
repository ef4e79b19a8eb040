package org.coltsfootproxy.direct;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Node;

/**
 * Learns from stores and other entries, when this one has started, at which versions streams began.
 *
 * <p>Callers may take up their streams here at once, also those that this host's earlier process
 * has begun. Stores know them even if all entries have ended.
 */
final class StreamVersionSync {
    private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    /**
     * Number of times that others are asked within a second, because some may be starting as well,
     * and connections may not be established yet.
     */
    private static final int ROUNDS = 5;

    /** Number of entries, and of stores, that are asked each time. */
    private static final int HOSTS_PER_ROUND = 2;

    /** Stores that know streams; one of them may have missed some. */
    private static final int STORE_ANSWERS = 2;

    private final HostId mSelf;
    private final StreamVersions mVersions;
    private List<HostId> mEntries = List.of();
    private List<HostId> mStores = List.of();

    /** Stores that have answered and know streams. */
    private final Set<HostId> mAnswered = new HashSet<>();

    private boolean mHasAnswer;
    private int mRoundsLeft = ROUNDS;
    private long mNextRound = Node.NEVER;

    StreamVersionSync(HostId self, StreamVersions versions) {
        mSelf = self;
        mVersions = versions;
    }

    /** Replaces the entries and stores of the fleet. */
    void hosts(List<HostId> entries, List<HostId> stores, long nowNanos) {
        mEntries = fromSelf(entries);
        mStores = fromSelf(stores);
        if (mRoundsLeft == ROUNDS && !(mEntries.isEmpty() && mStores.isEmpty())) {
            mNextRound = nowNanos;
        }
    }

    /** Returns the other hosts in an order that begins after this one. */
    private List<HostId> fromSelf(List<HostId> hosts) {
        Stream<HostId> after = hosts.stream().filter(host -> host.compareTo(mSelf) > 0).sorted();
        Stream<HostId> before = hosts.stream().filter(host -> host.compareTo(mSelf) < 0).sorted();
        return Stream.concat(after, before).toList();
    }

    /** Asks other hosts, if that is due. */
    void tick(long nowNanos, Effects out) {
        if (nowNanos - mNextRound < 0) {
            return;
        }
        if (mAnswered.size() < STORE_ANSWERS) {
            int round = ROUNDS - mRoundsLeft;
            Stream.concat(chosen(mStores, round), chosen(mEntries, round))
                    .forEach(host -> out.send(host, new FleetMessage.AskStreams()));
        }
        mRoundsLeft--;
        mNextRound = mRoundsLeft > 0 ? nowNanos + INTERVAL_NANOS : Node.NEVER;
    }

    private Stream<HostId> chosen(List<HostId> hosts, int round) {
        int offset = mSelf.hashCode() & Integer.MAX_VALUE;
        int first = round * HOSTS_PER_ROUND;
        return IntStream.range(first, first + Math.min(HOSTS_PER_ROUND, hosts.size()))
                .mapToObj(n -> hosts.get((int) ((offset + (long) n) % hosts.size())));
    }

    /** Answers an entry that has started. */
    void answer(HostId from, long nowNanos, Effects out) {
        out.send(from, new FleetMessage.KnownStreams(mVersions.recent(nowNanos)));
    }

    /** Applies the answer of another host. */
    void answered(HostId from, FleetMessage.KnownStreams known, long nowNanos) {
        mVersions.handle(known.streams(), nowNanos);
        boolean isStore = mStores.contains(from);
        mHasAnswer |= isStore || !known.streams().isEmpty();
        if (isStore && !known.streams().isEmpty()) {
            mAnswered.add(from);
        }
    }

    /**
     * Returns whether a store, or an entry that knows streams, has answered, or no answer is needed
     * because a single version has begun all streams.
     */
    boolean isDone(long nowNanos) {
        return mHasAnswer || !mVersions.needsStreams(nowNanos);
    }

    /** Returns the time of the next due {@link #tick}, or {@link Node#NEVER}. */
    long nextTickNanos() {
        return mNextRound;
    }
}
