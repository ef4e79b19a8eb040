package org.coltsfootproxy.runtime;

import java.time.Duration;
import java.util.Random;
import org.coltsfootproxy.config.ConfigSubscriber;
import org.coltsfootproxy.config.ConfigTiming;
import org.coltsfootproxy.membership.FleetMembership;
import org.coltsfootproxy.membership.PeerAddresses;
import org.coltsfootproxy.message.FleetRole;

/** Derives timing and membership parameters from the settings of a fleet with seeds. */
final class FleetSettings {
    /**
     * Fraction of {@code keyMillis} for which a host may use its configuration without a new
     * confirmation.
     */
    private static final double FRESH_FRACTION = 0.8;

    /**
     * Fraction of that period after which a subscriber leaves a silent control host for another.
     */
    private static final double SILENCE_FRACTION = 0.45;

    /** Renewals sent within that period, so that losing one does no harm. */
    private static final int RENEWALS_PER_FRESH_PERIOD = 4;

    private static final long CONFIRM_INTERVAL_NANOS = Duration.ofMillis(200).toNanos();

    private FleetSettings() {}

    static ConfigTiming timing(Settings.Fleet fleet) {
        long freshNanos = (long) (Duration.ofMillis(fleet.keyMillis()).toNanos() * FRESH_FRACTION);
        return new ConfigTiming(
                freshNanos / RENEWALS_PER_FRESH_PERIOD,
                freshNanos,
                (long) (freshNanos * SILENCE_FRACTION),
                CONFIRM_INTERVAL_NANOS);
    }

    static ConfigSubscriber subscriber(Settings settings, Settings.Fleet fleet, Random random) {
        return ConfigSubscriber.create(
                settings.dataCentre(),
                addresses(settings).controlHosts(fleet.seedHosts()),
                timing(fleet),
                new Random(random.nextLong()));
    }

    static FleetMembership membership(Settings settings, Settings.Fleet fleet, FleetRole role) {
        return FleetMembership.create(
                new FleetMembership.Self(
                        settings.host(), settings.operatorName(), role, settings.dataCentre()),
                fleet.seedHosts());
    }

    static PeerAddresses addresses(Settings settings) {
        return new PeerAddresses(Addresses.parse(settings.peerAddress()).getPort());
    }

    /** Returns the number of voters with which the stated losses leave a quorum. */
    static int voters(Settings.Fleet fleet) {
        return 2 * fleet.losses() + 1;
    }
}
