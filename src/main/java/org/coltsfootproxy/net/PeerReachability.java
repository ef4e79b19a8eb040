package org.coltsfootproxy.net;

import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.message.Lane;
import org.coltsfootproxy.node.Input;

/**
 * Reports to the sink which peers are reachable, in the order of the changes.
 *
 * <p>A peer is reported as up for each new connection in the online and control lanes, and as lost
 * when the last of these is closed or when dialling it fails while there is none. Connections in
 * the batch lane are ignored. Thread-safe.
 */
final class PeerReachability {
    private static final long RETRY_MILLIS = 1;

    private final InputSink mSink;
    private final EventLoop mLoop;
    private final Map<HostId, Integer> mConnectionCounts = new HashMap<>();
    private final Queue<Input> mDeferred = new ArrayDeque<>();

    private PeerReachability(InputSink sink, EventLoop loop) {
        mSink = sink;
        mLoop = loop;
    }

    /**
     * Returns an instance without peers; inputs are retried on {@code loop} if the sink is full.
     */
    static PeerReachability create(InputSink sink, EventLoop loop) {
        return new PeerReachability(sink, loop);
    }

    /** Records that a connection has become ready. */
    synchronized void onUp(HostId host, Incarnation incarnation, Lane lane) {
        if (lane != Lane.BATCH) {
            mConnectionCounts.merge(host, 1, Integer::sum);
            forward(new Input.PeerUp(host, incarnation));
        }
    }

    /** Records that a connection which was ready is closed. */
    synchronized void onDown(HostId host, Lane lane) {
        if (lane != Lane.BATCH && mConnectionCounts.merge(host, -1, Integer::sum) == 0) {
            mConnectionCounts.remove(host);
            forward(new Input.PeerLost(host));
        }
    }

    /** Records that a peer could not be dialled. */
    synchronized void onUnreachable(HostId host, Lane lane) {
        if (lane != Lane.BATCH && !mConnectionCounts.containsKey(host)) {
            forward(new Input.PeerLost(host));
        }
    }

    private void forward(Input input) {
        if (mDeferred.isEmpty() && mSink.offer(input)) {
            return;
        }
        mDeferred.add(input);
        if (mDeferred.size() == 1) {
            scheduleRetry();
        }
    }

    private void scheduleRetry() {
        mLoop.schedule(this::retryDeferred, RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private synchronized void retryDeferred() {
        while (!mDeferred.isEmpty() && mSink.offer(mDeferred.peek())) {
            mDeferred.remove();
        }
        if (!mDeferred.isEmpty()) {
            scheduleRetry();
        }
    }
}
