package org.coltsfootproxy.entry;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.admission.ContentionMode;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.config.Regions;

/**
 * Settings of the entry role.
 *
 * <p>When an agent sends nothing about a request in time, the entry asks it about the request.
 *
 * @param ackTimeoutNanos time within which an agent must acknowledge a request before it is asked
 * @param silenceTimeoutNanos time without a message about an acknowledged request after which the
 *     agent is asked
 * @param askIntervalNanos time between repeated questions to an agent
 * @param askTimeoutNanos time after the first unanswered question from which the agent's answer
 *     counts as lost
 * @param deadlineGraceNanos time after a request's deadline for which the entry still waits for the
 *     agent's answer
 * @param drainDelayNanos time after the start of a planned stop during which new requests are still
 *     served, so that the load balancer can notice the stop
 * @param stopNanos time after the start of a planned stop at which requests are cut
 * @param direct settings that only entries use which call targets themselves
 */
public record EntrySettings(
        HostId host,
        DataCentre dataCentre,
        long ackTimeoutNanos,
        long silenceTimeoutNanos,
        long askIntervalNanos,
        long askTimeoutNanos,
        long deadlineGraceNanos,
        long drainDelayNanos,
        long stopNanos,
        Direct direct) {
    /** Time that a request may take, for the requests accepted last to end before the limit. */
    private static final long LONGEST_REQUEST_NANOS = TimeUnit.SECONDS.toNanos(5);

    /** Time that a balancer needs at least to notice a stop. */
    private static final long MIN_DRAIN_DELAY_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Validates the settings. */
    public EntrySettings {
        checkNotNull(host, "host");
        checkNotNull(dataCentre, "dataCentre");
        checkNotNull(direct, "direct");
        checkArgument(ackTimeoutNanos > 0, "ackTimeoutNanos %s must be positive", ackTimeoutNanos);
        checkArgument(
                silenceTimeoutNanos > 0,
                "silenceTimeoutNanos %s must be positive",
                silenceTimeoutNanos);
        checkArgument(
                askIntervalNanos > 0, "askIntervalNanos %s must be positive", askIntervalNanos);
        checkArgument(askTimeoutNanos > 0, "askTimeoutNanos %s must be positive", askTimeoutNanos);
    }

    /** Returns the default settings of the given host. */
    public static EntrySettings of(HostId host, DataCentre dataCentre) {
        return new EntrySettings(
                host,
                dataCentre,
                TimeUnit.MILLISECONDS.toNanos(300),
                TimeUnit.SECONDS.toNanos(2),
                TimeUnit.MILLISECONDS.toNanos(300),
                TimeUnit.SECONDS.toNanos(3),
                TimeUnit.MILLISECONDS.toNanos(250),
                TimeUnit.SECONDS.toNanos(5),
                Long.MAX_VALUE,
                new Direct(Regions.none(), false, ContentionMode.AUTO));
    }

    /**
     * Returns these settings for a host that stops within a time limit. New requests are refused
     * early enough for those before to end within it.
     *
     * @param stopNanos time after the start of a planned stop at which requests are cut
     */
    public EntrySettings withStopLimit(long stopNanos) {
        long drainDelay =
                Math.max(
                        MIN_DRAIN_DELAY_NANOS,
                        Math.min(drainDelayNanos, stopNanos - LONGEST_REQUEST_NANOS));
        return new EntrySettings(
                host,
                dataCentre,
                ackTimeoutNanos,
                silenceTimeoutNanos,
                askIntervalNanos,
                askTimeoutNanos,
                deadlineGraceNanos,
                drainDelay,
                stopNanos,
                direct);
    }

    /** Returns these settings for an entry that calls targets itself. */
    public EntrySettings withDirect(Direct settings) {
        return new EntrySettings(
                host,
                dataCentre,
                ackTimeoutNanos,
                silenceTimeoutNanos,
                askIntervalNanos,
                askTimeoutNanos,
                deadlineGraceNanos,
                drainDelayNanos,
                stopNanos,
                settings);
    }

    /**
     * Settings that only entries use which call targets themselves.
     *
     * @param regions the regions of the data centres
     * @param needsConfirmation whether nothing is sent to targets while the configuration is not
     *     confirmed as current, as evacuations of data centres need it
     * @param contention when requests are decided by rank and fair share
     */
    public record Direct(Regions regions, boolean needsConfirmation, ContentionMode contention) {
        /** Checks that no component is null. */
        public Direct {
            checkNotNull(regions, "regions");
            checkNotNull(contention, "contention");
        }
    }
}
