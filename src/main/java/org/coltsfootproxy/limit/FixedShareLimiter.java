package org.coltsfootproxy.limit;

import static com.google.common.base.Preconditions.checkNotNull;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.IntSupplier;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.OrganisationId;
import org.coltsfootproxy.config.ConfigView;
import org.coltsfootproxy.config.Organisation;
import org.coltsfootproxy.message.LimitMessage;
import org.coltsfootproxy.node.Effects;

/**
 * Gives each of n entries 1/n of the rate and burst, without messages.
 *
 * <p>The baseline for measurements.
 */
public final class FixedShareLimiter implements Limiter {
    private static final double SECOND_NANOS = 1e9;

    private static final class Share {
        private double mLevel;
        private long mFilledAt;
    }

    private final IntSupplier mEntries;
    private final Map<OrganisationId, Share> mShares = new HashMap<>();
    private ConfigView mView = ConfigView.empty();

    private FixedShareLimiter(IntSupplier entries) {
        mEntries = checkNotNull(entries, "entries");
    }

    /**
     * Returns a limiter for one entry.
     *
     * @param entries supplies the number of entries that share the rates
     */
    public static FixedShareLimiter create(IntSupplier entries) {
        return new FixedShareLimiter(entries);
    }

    @Override
    public Decision tryAcquire(OrganisationId organisation, long call, long nowNanos, Effects out) {
        Optional<Organisation> rates = mView.organisation(organisation);
        if (rates.isEmpty()) {
            return Decision.unavailable(1);
        }
        double rate = rates.get().ratePerSecond() / mEntries.getAsInt();
        double burst = rates.get().burst() / mEntries.getAsInt();
        Share share = mShares.computeIfAbsent(organisation, id -> newShare(burst, nowNanos));
        double filled = share.mLevel + rate * (nowNanos - share.mFilledAt) / SECOND_NANOS;
        share.mLevel = Math.min(burst, filled);
        share.mFilledAt = nowNanos;
        if (share.mLevel >= 1) {
            share.mLevel--;
            return Decision.ADMITTED;
        }
        return Decision.refused((long) ((1 - share.mLevel) / rate * SECOND_NANOS));
    }

    private static Share newShare(double burst, long now) {
        Share share = new Share();
        share.mLevel = burst;
        share.mFilledAt = now;
        return share;
    }

    @Override
    public void cancel(OrganisationId organisation, long call) {
        // No request waits.
    }

    @Override
    public void handle(HostId from, LimitMessage message, long nowNanos, Effects out) {
        // Entries exchange no messages.
    }

    @Override
    public void tick(long nowNanos, Effects out) {
        // Nothing is ever due.
    }

    @Override
    public long nextTickNanos() {
        return Long.MAX_VALUE;
    }

    @Override
    public void configure(ConfigView view, long nowNanos) {
        mView = checkNotNull(view, "view");
    }

    @Override
    public void stop(long nowNanos, Effects out) {
        // No tokens are held for return.
    }
}
