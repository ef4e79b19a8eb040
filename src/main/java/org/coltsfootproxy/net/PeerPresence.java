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
 * Tells the decisions which peers can be reached, in the order in which it changes.
 *
 * <p>A peer is up with each new connection of the lanes for online and control, and lost when the
 * last of them is gone or when it can't be dialled; batch connections alone say nothing.
 * Thread-safe.
 */
final class PeerPresence {
    private static final long RETRY_MILLIS = 1;

    private final InputSink mSink;
    private final EventLoop mLoop;
    private final Map<HostId, Integer> mConnections = new HashMap<>();
    private final Queue<Input> mDeferred = new ArrayDeque<>();

    private PeerPresence(InputSink sink, EventLoop loop) {
        mSink = sink;
        mLoop = loop;
    }

    /** Returns a presence without peers; inputs that find the sink full are retried on the loop. */
    static PeerPresence create(InputSink sink, EventLoop loop) {
        return new PeerPresence(sink, loop);
    }

    /** Notes a connection that has become ready. */
    synchronized void up(HostId host, Incarnation incarnation, Lane lane) {
        if (lane != Lane.BATCH) {
            mConnections.merge(host, 1, Integer::sum);
            offer(new Input.PeerUp(host, incarnation));
        }
    }

    /** Notes that a connection which was ready is gone. */
    synchronized void down(HostId host, Lane lane) {
        if (lane != Lane.BATCH && mConnections.merge(host, -1, Integer::sum) == 0) {
            mConnections.remove(host);
            offer(new Input.PeerLost(host));
        }
    }

    /** Notes that a peer could not be dialled. */
    synchronized void unreachable(HostId host, Lane lane) {
        if (lane != Lane.BATCH && !mConnections.containsKey(host)) {
            offer(new Input.PeerLost(host));
        }
    }

    private void offer(Input input) {
        if (mDeferred.isEmpty() && mSink.offer(input)) {
            return;
        }
        mDeferred.add(input);
        if (mDeferred.size() == 1) {
            retryLater();
        }
    }

    private void retryLater() {
        mLoop.schedule(this::retry, RETRY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private synchronized void retry() {
        while (!mDeferred.isEmpty() && mSink.offer(mDeferred.peek())) {
            mDeferred.remove();
        }
        if (!mDeferred.isEmpty()) {
            retryLater();
        }
    }
}
