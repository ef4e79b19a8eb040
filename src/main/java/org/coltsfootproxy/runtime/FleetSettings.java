package org.coltsfootproxy.runtime;

import java.time.Duration;
import java.util.Random;
import org.coltsfootproxy.config.ConfigSubscriber;
import org.coltsfootproxy.config.ConfigTiming;
import org.coltsfootproxy.membership.FleetMembership;
import org.coltsfootproxy.membership.PeerAddresses;
import org.coltsfootproxy.message.FleetRole;

/** What follows from the settings of a fleet whose hosts find each other by seeds. */
final class FleetSettings {
    /** Part of the time for a withdrawn key for which a host trusts its configuration unasked. */
    private static final double FRESH_PART = 0.8;

    /** Part of that trust after which a silent control host is left for another one. */
    private static final double SILENCE_PART = 0.45;

    /** Renewals in the time of that trust, so that a lost one does no harm. */
    private static final int RENEWALS = 4;

    private static final long CONFIRM_NANOS = Duration.ofMillis(200).toNanos();

    private FleetSettings() {}

    static ConfigTiming timing(Settings.Fleet fleet) {
        long fresh = (long) (Duration.ofMillis(fleet.keyMillis()).toNanos() * FRESH_PART);
        return new ConfigTiming(
                fresh / RENEWALS, fresh, (long) (fresh * SILENCE_PART), CONFIRM_NANOS);
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
                        settings.host(), settings.operatorsName(), role, settings.dataCentre()),
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
