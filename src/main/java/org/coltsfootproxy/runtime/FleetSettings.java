package org.coltsfootproxy.runtime;

import java.time.Duration;
import java.util.Random;
import org.coltsfootproxy.config.ConfigSubscriber;
import org.coltsfootproxy.config.ConfigTiming;
import org.coltsfootproxy.job.JobLimits;
import org.coltsfootproxy.job.JobSettings;
import org.coltsfootproxy.job.RetryPolicy;
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

    /** A lost worker's items are free again after this time. */
    private static final Duration LEASE = Duration.ofSeconds(3);

    /** How long an ended job stays readable: the platform's 120 s and what the end lags. */
    private static final Duration RETENTION = Duration.ofSeconds(180);

    /** Bytes of jobs that control hosts of a few hundred megabytes keep. */
    private static final long JOB_BYTES = 48L << 20;

    private static final int ITEMS_PER_JOB = 1_000;
    private static final int JOBS_PER_ORGANISATION = 4_000;
    private static final int ITEMS_PER_ORGANISATION = 100_000;

    /** Attempts, and pauses between them in milliseconds, of jobs whose route states none. */
    private static final RetryPolicy RETRIES = new RetryPolicy(5, 200, 2_000);

    private FleetSettings() {}

    static ConfigTiming timing(Settings.Fleet fleet) {
        long fresh = (long) (Duration.ofMillis(fleet.keyMillis()).toNanos() * FRESH_PART);
        return new ConfigTiming(
                fresh / RENEWALS, fresh, (long) (fresh * SILENCE_PART), CONFIRM_NANOS);
    }

    static JobSettings jobs() {
        JobLimits limits =
                new JobLimits(
                        ITEMS_PER_JOB,
                        JOBS_PER_ORGANISATION,
                        ITEMS_PER_ORGANISATION,
                        JOB_BYTES,
                        JOB_BYTES);
        return new JobSettings(
                limits,
                RETRIES,
                RETENTION,
                RETENTION,
                LEASE,
                LEASE,
                Duration.ZERO,
                64,
                Duration.ofSeconds(10),
                true);
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
