package org.coltsfootproxy.config;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
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
 * The configuration at an entry or agent: subscribes to one control host at a time and never goes
 * back to an older version.
 *
 * <p>The view is fresh while a quorum has confirmed, in answer to a renewal sent no longer ago than
 * the freshness, that no later version had been accepted. A host that doesn't confirm in time is
 * left for the next; hosts of the own data centre come first, and are tried again from time to
 * time.
 */
public final class ConfigSubscriber {
    /** Time between two attempts to return to the nearest host, in renewals. */
    private static final int RENEWALS_BETWEEN_RETURNS = 30;

    private static final double JITTER = 0.1;

    private List<ControlHost> mHosts;
    private final ConfigTiming mTiming;
    private final Random mRandom;
    private final Renewals mRenewals = new Renewals();

    private ConfigView mView = ConfigView.empty();
    private UpdateAssembly mAssembly;
    private int mCurrent;
    private long mNextRenewal;
    private long mNextReturn;
    private long mSilentSince;
    private boolean mHasFreshness;
    private long mFreshUntil;

    private ConfigSubscriber(List<ControlHost> hosts, ConfigTiming timing, Random random) {
        mHosts = hosts;
        mTiming = timing;
        mRandom = random;
    }

    /**
     * Returns a subscriber with the empty view of version 0.
     *
     * @param home data centre of this process; its control hosts are preferred
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

    /** Begins to subscribe. */
    public void start(long nowNanos, Effects out) {
        mHosts.forEach(host -> out.add(new Effect.PeerAddress(host.host(), host.address())));
        mNextReturn = nowNanos + returnNanos();
        subscribe(nowNanos, out);
    }

    /** Replaces the control hosts, at least one; the present one stays if it is among them. */
    public void hosts(List<ControlHost> hosts, long nowNanos, Effects out) {
        checkArgument(!hosts.isEmpty(), "no control hosts");
        hosts.forEach(host -> out.add(new Effect.PeerAddress(host.host(), host.address())));
        HostId present = current();
        List<HostId> ids = hosts.stream().map(ControlHost::host).toList();
        int index = ids.indexOf(present);
        mHosts = List.copyOf(hosts);
        mCurrent = Math.max(0, index);
        if (index < 0) {
            mSilentSince = nowNanos;
            mNextRenewal = nowNanos;
        }
    }

    /** The host may have stood still: what was confirmed before counts no more. */
    public void distrust(long nowNanos, Effects out) {
        if (mHasFreshness) {
            mHasFreshness = false;
            out.log(EventCode.CONFIG_LEASE_LOST, "version " + mView.version());
        }
        mRenewals.forget();
        mNextRenewal = nowNanos;
    }

    /**
     * Handles a message.
     *
     * @return whether a new version came into force
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
        } else if (message instanceof ConfigMessage.GoElsewhere) {
            peerLost(from, nowNanos, out);
        }
        return false;
    }

    /** Handles the loss of a connection: if it was to the current host, tries the next. */
    public void peerLost(HostId host, long nowNanos, Effects out) {
        if (current().equals(host)) {
            moveOn(nowNanos);
        }
    }

    /** Does whatever is due. */
    public void tick(long nowNanos, Effects out) {
        if (mHasFreshness && nowNanos - mFreshUntil >= 0) {
            mHasFreshness = false;
            out.log(EventCode.CONFIG_LEASE_LOST, "version " + mView.version());
        }
        if (nowNanos - mSilentSince >= mTiming.silenceNanos()) {
            moveOn(nowNanos);
        }
        if (nowNanos - mNextReturn >= 0) {
            mNextReturn = nowNanos + returnNanos();
            if (mCurrent != 0) {
                renewAt(mHosts.get(0).host(), nowNanos, out);
            }
        }
        if (nowNanos - mNextRenewal >= 0) {
            renew(nowNanos, out);
        }
    }

    /** Returns the time of the next due tick. */
    public long nextTickNanos() {
        long silence = mSilentSince + mTiming.silenceNanos();
        long next = Math.min(Math.min(mNextRenewal, mNextReturn), silence);
        return mHasFreshness ? Math.min(next, mFreshUntil) : next;
    }

    /** Returns the configuration in force here. */
    public ConfigView view() {
        return mView;
    }

    /** Tells whether the view is confirmed as current; if not, no key may be trusted. */
    public boolean isFresh(long nowNanos) {
        return mHasFreshness && nowNanos - mFreshUntil < 0;
    }

    /** Returns the control host that is subscribed to now. */
    public HostId current() {
        return mHosts.get(mCurrent).host();
    }

    private boolean onUpdate(HostId from, ConfigMessage.Update update, Effects out) {
        if (!UpdateAssembly.isValid(update) || !isWanted(update)) {
            return false;
        }
        mAssembly = UpdateAssembly.with(mAssembly, from, update);
        Optional<List<byte[]>> changes = mAssembly.changes();
        if (changes.isEmpty()) {
            return false;
        }
        mAssembly = null;
        return apply(update, changes.get(), out);
    }

    private boolean isWanted(ConfigMessage.Update update) {
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
        mRenewals.reached(mView.version()).ifPresent(this::extend);
        out.log(EventCode.CONFIG_APPLIED, "version " + mView.version());
        out.measure(Metric.CONFIG_VERSION, "", "", mView.version());
        return true;
    }

    private void onConfirmed(HostId from, ConfigMessage.Confirmed confirmed, long nowNanos) {
        Optional<Long> sentAt = mRenewals.confirmed(confirmed, mView.version());
        if (sentAt.isEmpty()) {
            return;
        }
        if (from.equals(mHosts.get(0).host())) {
            mCurrent = 0;
        }
        if (confirmed.version() <= mView.version()) {
            extend(sentAt.get());
        }
        if (from.equals(current())) {
            mSilentSince = nowNanos;
        }
    }

    private void extend(long sentAt) {
        long until = sentAt + ConfigTiming.holderNanos(mTiming.freshNanos());
        if (!mHasFreshness || until - mFreshUntil > 0) {
            mFreshUntil = until;
            mHasFreshness = true;
        }
    }

    private void moveOn(long nowNanos) {
        mCurrent = (mCurrent + 1) % mHosts.size();
        mSilentSince = nowNanos;
        mNextRenewal = nowNanos + (long) (mTiming.renewNanos() * mRandom.nextDouble() / 2);
    }

    private void subscribe(long nowNanos, Effects out) {
        mSilentSince = nowNanos;
        renew(nowNanos, out);
    }

    private void renew(long nowNanos, Effects out) {
        double factor = 1 - JITTER + 2 * JITTER * mRandom.nextDouble();
        mNextRenewal = nowNanos + (long) (mTiming.renewNanos() * factor);
        renewAt(current(), nowNanos, out);
    }

    private void renewAt(HostId host, long nowNanos, Effects out) {
        long sequence = mRenewals.sent(nowNanos);
        out.send(host, new ConfigMessage.Subscribe(sequence, mView.version()));
    }

    private long returnNanos() {
        double factor = 1 + mRandom.nextDouble();
        return (long) (mTiming.renewNanos() * RENEWALS_BETWEEN_RETURNS * factor);
    }
}
