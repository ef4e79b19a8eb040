package org.coltsfootproxy.config;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Random;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.EventCode;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Metric;
import org.coltsfootproxy.base.ProxyException;
import org.coltsfootproxy.message.ConfigMessage;
import org.coltsfootproxy.node.Effect;
import org.coltsfootproxy.node.Effects;

/**
 * The configuration on a host that subscribes to it, such as an entry or agent. Subscribes to one
 * control host at a time and never reverts to an older version.
 *
 * <p>The subscriber sends renewals. The control host answers each with its version, once a quorum
 * has confirmed that no later one had been accepted. The view is fresh if it has reached that
 * version and the renewal was sent no longer ago than the freshness period. If a control host
 * doesn't confirm in time, the subscriber fails over to the next one. Control hosts in the local
 * data centre come first, and the first of them is retried periodically.
 */
public final class ConfigSubscriber {
    /**
     * Minimum time between two attempts to return to the preferred control host, in renewal
     * intervals. The actual time is random, up to twice as long.
     */
    private static final int RENEWALS_BETWEEN_FAILBACKS = 30;

    private static final double RENEWAL_JITTER_RATIO = 0.1;

    private List<ControlHost> mHosts;
    private final ConfigTiming mTiming;
    private final Random mRandom;
    private final Renewals mRenewals = new Renewals();

    private ConfigView mView = ConfigView.empty();
    private UpdateAssembly mAssembly;
    private int mCurrentIndex;
    private long mNextRenewalNanos;
    private long mNextFailbackNanos;
    private long mSilentSinceNanos;
    private boolean mHasFreshness;
    private long mFreshUntilNanos;

    /** When the last confirmed renewal was sent; empty if there was none. */
    private OptionalLong mConfirmedNanos = OptionalLong.empty();

    private ConfigSubscriber(List<ControlHost> hosts, ConfigTiming timing, Random random) {
        mHosts = hosts;
        mTiming = timing;
        mRandom = random;
    }

    /**
     * Returns a subscriber with the empty view of version 0.
     *
     * @param home data centre of this process, whose control hosts are preferred
     * @param hosts the control hosts, not empty
     */
    public static ConfigSubscriber create(
            DataCentre home, List<ControlHost> hosts, ConfigTiming timing, Random random) {
        checkNotNull(home, "home data centre is missing");
        checkArgument(!hosts.isEmpty(), "no control hosts");
        List<ControlHost> ordered = new ArrayList<>(hosts);
        Collections.shuffle(ordered, random);
        ordered.sort(
                java.util.Comparator.comparing(
                        (ControlHost host) -> !host.dataCentre().equals(home)));
        return new ConfigSubscriber(List.copyOf(ordered), timing, random);
    }

    /** Starts the subscription. */
    public void start(long nowNanos, Effects out) {
        mHosts.forEach(host -> out.add(new Effect.PeerAddress(host.host(), host.address())));
        mNextFailbackNanos = nowNanos + failbackNanos();
        subscribe(nowNanos, out);
    }

    /**
     * Replaces the control hosts, of which there must be at least one; the given order is kept. The
     * current host stays selected if it is among them.
     */
    public void replaceHosts(List<ControlHost> hosts, long nowNanos, Effects out) {
        checkArgument(!hosts.isEmpty(), "no control hosts");
        hosts.forEach(host -> out.add(new Effect.PeerAddress(host.host(), host.address())));
        HostId previous = current();
        List<HostId> ids = hosts.stream().map(ControlHost::host).toList();
        int index = ids.indexOf(previous);
        mHosts = List.copyOf(hosts);
        mCurrentIndex = Math.max(0, index);
        if (index < 0) {
            mSilentSinceNanos = nowNanos;
            mNextRenewalNanos = nowNanos;
        }
    }

    /**
     * Discards all confirmations, including those in flight, because this host may have been
     * suspended.
     */
    public void discardConfirmations(long nowNanos, Effects out) {
        if (mHasFreshness) {
            mHasFreshness = false;
            out.log(EventCode.CONFIG_LEASE_LOST, "version " + mView.version());
        }
        mConfirmedNanos = OptionalLong.empty();
        mRenewals.clear();
        mNextRenewalNanos = nowNanos;
    }

    /**
     * Handles a message.
     *
     * @return whether a new version was applied
     */
    public boolean handle(HostId from, ConfigMessage message, long nowNanos, Effects out) {
        if (mHosts.stream().noneMatch(host -> host.host().equals(from))) {
            return false;
        }
        if (message instanceof ConfigMessage.Update update) {
            return onUpdate(from, update, out);
        }
        if (message instanceof ConfigMessage.Confirmed confirmed) {
            onConfirmed(from, confirmed, nowNanos);
        } else if (message instanceof ConfigMessage.SubscriptionRefused) {
            peerLost(from, nowNanos, out);
        }
        return false;
    }

    /**
     * Handles the loss of a connection. If it was to the current control host, fails over to the
     * next.
     */
    public void peerLost(HostId host, long nowNanos, Effects out) {
        if (current().equals(host)) {
            failOver(nowNanos);
        }
    }

    /** Performs the work that is due. */
    public void tick(long nowNanos, Effects out) {
        if (mHasFreshness && nowNanos - mFreshUntilNanos >= 0) {
            mHasFreshness = false;
            out.log(EventCode.CONFIG_LEASE_LOST, "version " + mView.version());
        }
        if (nowNanos - mSilentSinceNanos >= mTiming.silenceNanos()) {
            failOver(nowNanos);
        }
        if (nowNanos - mNextFailbackNanos >= 0) {
            mNextFailbackNanos = nowNanos + failbackNanos();
            if (mCurrentIndex != 0) {
                sendRenewal(mHosts.get(0).host(), nowNanos, out);
            }
        }
        if (nowNanos - mNextRenewalNanos >= 0) {
            renew(nowNanos, out);
        }
    }

    /** Returns the time of the next due tick. */
    public long nextTickNanos() {
        long silence = mSilentSinceNanos + mTiming.silenceNanos();
        long next = Math.min(Math.min(mNextRenewalNanos, mNextFailbackNanos), silence);
        return mHasFreshness ? Math.min(next, mFreshUntilNanos) : next;
    }

    /** Returns the newest configuration received. */
    public ConfigView view() {
        return mView;
    }

    /** Returns whether the view is confirmed as current. If not, no key may be trusted. */
    public boolean isFresh(long nowNanos) {
        return mHasFreshness && nowNanos - mFreshUntilNanos < 0;
    }

    /** Returns whether the view contains all that was in force at a time on this host's clock. */
    public boolean isConfirmedSince(long nanos) {
        return mConfirmedNanos.isPresent() && mConfirmedNanos.getAsLong() - nanos >= 0;
    }

    /** Returns the control host of the current subscription. */
    public HostId current() {
        return mHosts.get(mCurrentIndex).host();
    }

    private boolean onUpdate(HostId from, ConfigMessage.Update update, Effects out) {
        if (!UpdateAssembly.isValid(update) || !isApplicable(update)) {
            return false;
        }
        mAssembly = UpdateAssembly.add(mAssembly, from, update);
        Optional<List<byte[]>> changes = mAssembly.changes();
        if (changes.isEmpty()) {
            return false;
        }
        mAssembly = null;
        return apply(update, changes.get(), out);
    }

    private boolean isApplicable(ConfigMessage.Update update) {
        return update.to() > mView.version() && update.from() <= mView.version();
    }

    private boolean apply(ConfigMessage.Update update, List<byte[]> changes, Effects out) {
        ConfigView base = update.from() == 0 ? ConfigView.empty() : mView;
        try {
            List<ConfigChange> decoded = new ArrayList<>(changes.size());
            for (byte[] change : changes) {
                decoded.add(ConfigCodec.decode(change));
            }
            mView = base.with(update.to(), decoded);
        } catch (ProxyException e) {
            out.log(EventCode.CONFIG_UPDATE_REFUSED, e.getMessage());
            return false;
        }
        mRenewals.versionReached(mView.version()).ifPresent(this::extendFreshness);
        out.log(EventCode.CONFIG_APPLIED, "version " + mView.version());
        out.measure(Metric.CONFIG_VERSION, "", "", mView.version());
        return true;
    }

    private void onConfirmed(HostId from, ConfigMessage.Confirmed confirmed, long nowNanos) {
        Optional<Long> sentNanos = mRenewals.removeConfirmed(confirmed, mView.version());
        if (sentNanos.isEmpty()) {
            return;
        }
        if (from.equals(mHosts.get(0).host())) {
            mCurrentIndex = 0;
        }
        if (confirmed.version() <= mView.version()) {
            extendFreshness(sentNanos.get());
        }
        if (from.equals(current())) {
            mSilentSinceNanos = nowNanos;
        }
    }

    private void extendFreshness(long sentNanos) {
        if (mConfirmedNanos.isEmpty() || sentNanos - mConfirmedNanos.getAsLong() > 0) {
            mConfirmedNanos = OptionalLong.of(sentNanos);
        }
        long untilNanos = sentNanos + ConfigTiming.shortenForDrift(mTiming.freshNanos());
        if (!mHasFreshness || untilNanos - mFreshUntilNanos > 0) {
            mFreshUntilNanos = untilNanos;
            mHasFreshness = true;
        }
    }

    private void failOver(long nowNanos) {
        mCurrentIndex = (mCurrentIndex + 1) % mHosts.size();
        mSilentSinceNanos = nowNanos;
        mNextRenewalNanos = nowNanos + (long) (mTiming.renewNanos() * mRandom.nextDouble() / 2);
    }

    private void subscribe(long nowNanos, Effects out) {
        mSilentSinceNanos = nowNanos;
        renew(nowNanos, out);
    }

    private void renew(long nowNanos, Effects out) {
        double factor = 1 - RENEWAL_JITTER_RATIO + 2 * RENEWAL_JITTER_RATIO * mRandom.nextDouble();
        mNextRenewalNanos = nowNanos + (long) (mTiming.renewNanos() * factor);
        sendRenewal(current(), nowNanos, out);
    }

    private void sendRenewal(HostId host, long nowNanos, Effects out) {
        long sequence = mRenewals.recordSent(nowNanos);
        out.send(host, new ConfigMessage.Subscribe(sequence, mView.version()));
    }

    private long failbackNanos() {
        double factor = 1 + mRandom.nextDouble();
        return (long) (mTiming.renewNanos() * RENEWALS_BETWEEN_FAILBACKS * factor);
    }
}
