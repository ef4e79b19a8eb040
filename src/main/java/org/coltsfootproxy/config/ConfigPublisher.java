package org.coltsfootproxy.config;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.message.ConfigMessage;
import org.coltsfootproxy.node.Effects;

/**
 * Serves the configuration of one control host to its subscribers.
 *
 * <p>Each gets what changed since its version, or everything if that can't be told any more; a
 * subscriber that is ahead of this replica gets nothing. What takes more than one message is paced,
 * so that many subscribers at once can't flood the host.
 */
public final class ConfigPublisher {
    /** Renewals after which a silent subscriber is forgotten. */
    private static final int FORGET_RENEWALS = 5;

    /** Time between two rounds of paced parts. */
    private static final long PACE_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** Parts sent in one round: 2 MB, that is 100 MB a second. */
    private static final int PACE_PARTS = 64;

    private final ConfigState mState;
    private final ConfigTiming mTiming;
    private final QuorumBatch<Renewal> mConfirmations;
    private final Map<HostId, Subscription> mSubscriptions = new TreeMap<>();
    private final Deque<Subscription> mPaced = new ArrayDeque<>();
    private List<ConfigMessage.Update> mWhole = List.of();
    private long mNextPaced;
    private long mNextSweep;
    private long mPublished = -1;
    private boolean mIsStopped;

    /** A renewal that waits for its confirmation. */
    private record Renewal(HostId host, long sequence) {}

    private ConfigPublisher(ConfigState state, QuorumRead quorum, ConfigTiming timing) {
        mState = state;
        mTiming = timing;
        mConfirmations = QuorumBatch.create(quorum, timing);
    }

    /** Returns a publisher without subscribers. */
    public static ConfigPublisher create(
            ConfigState state, QuorumRead quorum, ConfigTiming timing) {
        return new ConfigPublisher(state, quorum, timing);
    }

    /** Begins work; called once, before any other method. */
    public void start(long nowNanos) {
        mNextPaced = nowNanos;
        mNextSweep = nowNanos;
    }

    /** Handles a subscription or renewal. */
    public void handle(HostId from, ConfigMessage.Subscribe subscribe, long nowNanos, Effects out) {
        if (mIsStopped) {
            out.send(from, new ConfigMessage.GoElsewhere(subscribe.sequence()));
            return;
        }
        Subscription known = mSubscriptions.get(from);
        Subscription subscription = known != null ? known : new Subscription(from);
        mSubscriptions.put(from, subscription);
        boolean isLost = subscription.seen(subscribe.version(), nowNanos);
        boolean isAhead = subscribe.version() > subscription.sentVersion();
        if (known == null || isAhead || isLost) {
            subscription.beginAt(subscribe.version());
        }
        serve(subscription, new HashMap<>(), out);
        mConfirmations.add(new Renewal(from, subscribe.sequence()));
    }

    /** Forgets a subscriber whose connection was lost. */
    public void peerLost(HostId host) {
        Subscription subscription = mSubscriptions.remove(host);
        if (subscription != null) {
            subscription.beginAt(subscription.version());
        }
    }

    /** Does whatever is due; call it after each step that may have changed the state. */
    public void tick(long nowNanos, Effects out) {
        if (mPublished != mState.version()) {
            mPublished = mState.version();
            publish(out);
        }
        mConfirmations.tick(nowNanos);
        mConfirmations.takeConfirmed().forEach(renewal -> confirm(renewal, out));
        sendPaced(nowNanos, out);
        sweep(nowNanos);
    }

    /** Returns the time of the next due tick. */
    public long nextTickNanos() {
        long next = Math.min(mNextSweep, mConfirmations.nextTickNanos());
        return mPaced.isEmpty() ? next : Math.min(next, mNextPaced);
    }

    /** Sends all subscribers elsewhere and takes no further ones. */
    public void stop(Effects out) {
        mIsStopped = true;
        mSubscriptions.keySet().forEach(h -> out.send(h, new ConfigMessage.GoElsewhere(0)));
        mSubscriptions.clear();
        mPaced.clear();
    }

    /** Returns the subscribers and the version in force at each when it last renewed. */
    public Stream<ConfigMessage.SubscriberState> subscribers(long nowNanos) {
        return mSubscriptions.values().stream()
                .map(
                        s ->
                                new ConfigMessage.SubscriberState(
                                        s.host(),
                                        s.version(),
                                        TimeUnit.NANOSECONDS.toMillis(nowNanos - s.seenAt())));
    }

    private void publish(Effects out) {
        Map<Long, List<ConfigMessage.Update>> updates = new HashMap<>();
        mSubscriptions.values().forEach(s -> serve(s, updates, out));
    }

    /**
     * Sends what a subscriber lacks, or queues it if it takes more than one message.
     *
     * @param updates the updates made in this step by the version that they start from
     */
    private void serve(
            Subscription subscription, Map<Long, List<ConfigMessage.Update>> updates, Effects out) {
        if (subscription.isBusy() || subscription.sentVersion() >= mState.version()) {
            return;
        }
        subscription.enqueue(updates.computeIfAbsent(subscription.sentVersion(), this::updateFrom));
        if (updates.get(subscription.sentVersion()).size() == 1) {
            out.send(subscription.host(), subscription.next());
        } else {
            mPaced.add(subscription);
        }
    }

    private List<ConfigMessage.Update> updateFrom(long version) {
        ConfigState.ChangeSet set = mState.changesSince(version);
        if (set.from() != 0) {
            return ConfigCodec.parts(set.from(), set.to(), set.changes());
        }
        if (mWhole.isEmpty() || mWhole.get(0).to() != set.to()) {
            mWhole = ConfigCodec.parts(0, set.to(), set.changes());
        }
        return mWhole;
    }

    private void sendPaced(long nowNanos, Effects out) {
        if (mPaced.isEmpty() || nowNanos - mNextPaced < 0) {
            return;
        }
        mNextPaced = nowNanos + PACE_NANOS;
        for (int sent = 0; sent < PACE_PARTS && !mPaced.isEmpty(); ) {
            Subscription subscription = mPaced.peek();
            if (subscription.isBusy()) {
                out.send(subscription.host(), subscription.next());
                sent++;
            } else {
                mPaced.remove();
                serveKnown(subscription, out);
            }
        }
    }

    private void serveKnown(Subscription subscription, Effects out) {
        if (mSubscriptions.get(subscription.host()) == subscription) {
            serve(subscription, new HashMap<>(), out);
        }
    }

    private void confirm(Renewal renewal, Effects out) {
        Subscription subscription = mSubscriptions.get(renewal.host());
        if (subscription != null && subscription.version() <= mState.version()) {
            out.send(
                    renewal.host(),
                    new ConfigMessage.Confirmed(renewal.sequence(), mState.version()));
        }
    }

    private void sweep(long nowNanos) {
        if (nowNanos - mNextSweep < 0) {
            return;
        }
        mNextSweep = nowNanos + mTiming.renewNanos();
        long patience = mTiming.renewNanos() * FORGET_RENEWALS;
        List<HostId> silent =
                mSubscriptions.values().stream()
                        .filter(s -> nowNanos - s.seenAt() > patience)
                        .map(Subscription::host)
                        .toList();
        silent.forEach(this::peerLost);
    }
}
