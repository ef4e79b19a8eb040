package org.coltsfootproxy.direct;

import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.message.FleetMessage;
import org.coltsfootproxy.node.Effects;
import org.coltsfootproxy.node.Node;

/**
 * Learns from other entries, when this one has started, at which versions streams began.
 *
 * <p>Callers may take up their streams here at once, also those that this host's earlier process
 * has begun.
 */
final class StreamVersionSync {
    private static final long INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Number of times that others are asked, because some may be starting as well. */
    private static final int ROUNDS = 3;

    private static final int HOSTS_PER_ROUND = 3;

    private final HostId mSelf;
    private final StreamVersions mVersions;
    private List<HostId> mOthers = List.of();
    private int mRoundsLeft = ROUNDS;
    private long mNextRound = Node.NEVER;

    StreamVersionSync(HostId self, StreamVersions versions) {
        mSelf = self;
        mVersions = versions;
    }

    /** Replaces the entries of the fleet. */
    void entries(List<HostId> entries, long nowNanos) {
        Stream<HostId> after = entries.stream().filter(host -> host.compareTo(mSelf) > 0).sorted();
        Stream<HostId> before = entries.stream().filter(host -> host.compareTo(mSelf) < 0).sorted();
        mOthers = Stream.concat(after, before).toList();
        if (mRoundsLeft == ROUNDS && !mOthers.isEmpty()) {
            mNextRound = nowNanos;
        }
    }

    /** Asks other entries, if that is due. */
    void tick(long nowNanos, Effects out) {
        if (nowNanos - mNextRound < 0) {
            return;
        }
        int first = (ROUNDS - mRoundsLeft) * HOSTS_PER_ROUND;
        IntStream.range(first, first + Math.min(HOSTS_PER_ROUND, mOthers.size()))
                .mapToObj(n -> mOthers.get(n % mOthers.size()))
                .forEach(other -> out.send(other, new FleetMessage.AskStreams()));
        mRoundsLeft--;
        mNextRound = mRoundsLeft > 0 ? nowNanos + INTERVAL_NANOS : Node.NEVER;
    }

    /** Answers an entry that has started. */
    void answer(HostId from, long nowNanos, Effects out) {
        out.send(from, new FleetMessage.KnownStreams(mVersions.recent(nowNanos)));
    }

    /** Returns the time of the next due {@link #tick}, or {@link Node#NEVER}. */
    long nextTickNanos() {
        return mNextRound;
    }
}
