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
 * <p>Each subscriber receives the changes since its version, or the whole configuration if those
 * changes are no longer known. A subscriber that is ahead of this replica receives nothing. Updates
 * of more than one message are paced, so that many subscribers at once don't overload the host.
 */
public final class ConfigPublisher {
    /** Number of renewal intervals after which a silent subscriber is removed. */
    private static final int EXPIRY_RENEWALS = 5;

    /** Interval between two rounds of paced parts, in nanoseconds. */
    private static final long PACING_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(20);

    /** Maximum number of parts sent in one round: 2 MB, which gives 100 MB per second. */
    private static final int MAX_PARTS_PER_ROUND = 64;

    private final ConfigState mState;
    private final ConfigTiming mTiming;
    private final QuorumReadBatcher<Renewal> mConfirmations;
    private final Map<HostId, Subscription> mSubscriptions = new TreeMap<>();
    private final Deque<Subscription> mPacedSubscriptions = new ArrayDeque<>();
    private List<ConfigMessage.Update> mFullUpdate = List.of();
    private long mNextRoundNanos;
    private long mNextExpiryNanos;
    private long mPublishedVersion = -1;
    private boolean mIsStopped;

    /** A renewal that waits for a quorum confirmation. */
    private record Renewal(HostId host, long sequence) {}

    private ConfigPublisher(ConfigState state, QuorumRead quorum, ConfigTiming timing) {
        mState = state;
        mTiming = timing;
        mConfirmations = QuorumReadBatcher.create(quorum, timing);
    }

    /** Returns a publisher without subscribers. */
    public static ConfigPublisher create(
            ConfigState state, QuorumRead quorum, ConfigTiming timing) {
        return new ConfigPublisher(state, quorum, timing);
    }

    /** Starts the timers. Must be called once, before any other method. */
    public void start(long nowNanos) {
        mNextRoundNanos = nowNanos;
        mNextExpiryNanos = nowNanos;
    }

    /** Handles a subscription or renewal. */
    public void handle(HostId from, ConfigMessage.Subscribe subscribe, long nowNanos, Effects out) {
        if (mIsStopped) {
            out.send(from, new ConfigMessage.SubscriptionRefused(subscribe.sequence()));
            return;
        }
        Subscription known = mSubscriptions.get(from);
        Subscription subscription = known != null ? known : new Subscription(from);
        mSubscriptions.put(from, subscription);
        boolean isLost = subscription.recordRenewal(subscribe.version(), nowNanos);
        boolean isAhead = subscribe.version() > subscription.sentVersion();
        if (known == null || isAhead || isLost) {
            subscription.restartFrom(subscribe.version());
        }
        sendMissing(subscription, new HashMap<>(), out);
        mConfirmations.add(new Renewal(from, subscribe.sequence()));
    }

    /** Removes a subscriber whose connection was lost. */
    public void peerLost(HostId host) {
        Subscription subscription = mSubscriptions.remove(host);
        if (subscription != null) {
            subscription.restartFrom(subscription.version());
        }
    }

    /**
     * Performs the work that is due. Must be called after each step that may have changed the
     * state.
     */
    public void tick(long nowNanos, Effects out) {
        if (mPublishedVersion != mState.version()) {
            mPublishedVersion = mState.version();
            publish(out);
        }
        mConfirmations.tick(nowNanos);
        mConfirmations.takeConfirmed().forEach(renewal -> confirm(renewal, out));
        sendPaced(nowNanos, out);
        removeExpired(nowNanos);
    }

    /** Returns the time of the next due tick. */
    public long nextTickNanos() {
        long next = Math.min(mNextExpiryNanos, mConfirmations.nextTickNanos());
        return mPacedSubscriptions.isEmpty() ? next : Math.min(next, mNextRoundNanos);
    }

    /** Tells all subscribers to use another host, and accepts no more of them. */
    public void stop(Effects out) {
        mIsStopped = true;
        mSubscriptions.keySet().forEach(h -> out.send(h, new ConfigMessage.SubscriptionRefused(0)));
        mSubscriptions.clear();
        mPacedSubscriptions.clear();
    }

    /**
     * Returns the subscribers, each with the version it had when it last renewed and the time
     * since.
     */
    public Stream<ConfigMessage.SubscriberState> subscribers(long nowNanos) {
        return mSubscriptions.values().stream()
                .map(
                        s ->
                                new ConfigMessage.SubscriberState(
                                        s.host(),
                                        s.version(),
                                        TimeUnit.NANOSECONDS.toMillis(
                                                nowNanos - s.lastRenewalNanos())));
    }

    private void publish(Effects out) {
        Map<Long, List<ConfigMessage.Update>> updates = new HashMap<>();
        mSubscriptions.values().forEach(s -> sendMissing(s, updates, out));
    }

    /**
     * Sends the changes that a subscriber lacks, or queues them if they take more than one message.
     *
     * @param updates the updates already built in this step, keyed by the version that they start
     *     from
     */
    private void sendMissing(
            Subscription subscription, Map<Long, List<ConfigMessage.Update>> updates, Effects out) {
        if (subscription.hasQueuedParts() || subscription.sentVersion() >= mState.version()) {
            return;
        }
        subscription.enqueue(updates.computeIfAbsent(subscription.sentVersion(), this::updateFrom));
        if (updates.get(subscription.sentVersion()).size() == 1) {
            out.send(subscription.host(), subscription.nextPart());
        } else {
            mPacedSubscriptions.add(subscription);
        }
    }

    private List<ConfigMessage.Update> updateFrom(long version) {
        ConfigState.ChangeSet set = mState.changesSince(version);
        if (set.from() != 0) {
            return ConfigCodec.parts(set.from(), set.to(), set.changes());
        }
        if (mFullUpdate.isEmpty() || mFullUpdate.get(0).to() != set.to()) {
            mFullUpdate = ConfigCodec.parts(0, set.to(), set.changes());
        }
        return mFullUpdate;
    }

    private void sendPaced(long nowNanos, Effects out) {
        if (mPacedSubscriptions.isEmpty() || nowNanos - mNextRoundNanos < 0) {
            return;
        }
        mNextRoundNanos = nowNanos + PACING_INTERVAL_NANOS;
        for (int sent = 0; sent < MAX_PARTS_PER_ROUND && !mPacedSubscriptions.isEmpty(); ) {
            Subscription subscription = mPacedSubscriptions.peek();
            if (subscription.hasQueuedParts()) {
                out.send(subscription.host(), subscription.nextPart());
                sent++;
            } else {
                mPacedSubscriptions.remove();
                sendMissingIfSubscribed(subscription, out);
            }
        }
    }

    private void sendMissingIfSubscribed(Subscription subscription, Effects out) {
        if (mSubscriptions.get(subscription.host()) == subscription) {
            sendMissing(subscription, new HashMap<>(), out);
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

    private void removeExpired(long nowNanos) {
        if (nowNanos - mNextExpiryNanos < 0) {
            return;
        }
        mNextExpiryNanos = nowNanos + mTiming.renewNanos();
        long timeoutNanos = mTiming.renewNanos() * EXPIRY_RENEWALS;
        List<HostId> expired =
                mSubscriptions.values().stream()
                        .filter(s -> nowNanos - s.lastRenewalNanos() > timeoutNanos)
                        .map(Subscription::host)
                        .toList();
        expired.forEach(this::peerLost);
    }
}
