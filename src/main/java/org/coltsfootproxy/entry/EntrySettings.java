package org.coltsfootproxy.entry;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import java.util.concurrent.TimeUnit;
import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.HostId;

/**
 * Settings of the entry role.
 *
 * @param receiptNanos time within which an agent must acknowledge a request
 * @param quietNanos time without a message about a running request after which the agent is asked
 * @param askNanos time between two questions
 * @param patienceNanos how long an agent is asked in vain before its answer counts as lost
 * @param graceNanos how long after a request's deadline the agent's own answer is awaited
 * @param lameDuckNanos how long new requests are still served after a planned stop began, until the
 *     balancer has noticed
 */
public record EntrySettings(
        HostId host,
        DataCentre dataCentre,
        long receiptNanos,
        long quietNanos,
        long askNanos,
        long patienceNanos,
        long graceNanos,
        long lameDuckNanos) {
    /** Checks the settings. */
    public EntrySettings {
        checkNotNull(host, "host");
        checkNotNull(dataCentre, "dataCentre");
        checkArgument(receiptNanos > 0, "receiptNanos %s must be above 0", receiptNanos);
        checkArgument(quietNanos > 0, "quietNanos %s must be above 0", quietNanos);
        checkArgument(askNanos > 0, "askNanos %s must be above 0", askNanos);
        checkArgument(patienceNanos > 0, "patienceNanos %s must be above 0", patienceNanos);
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
                TimeUnit.SECONDS.toNanos(5));
    }
}
