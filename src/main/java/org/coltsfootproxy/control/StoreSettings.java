package org.coltsfootproxy.control;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.config.Regions;
import org.coltsfootproxy.direct.TargetProtocol;
import org.coltsfootproxy.job.JobSettings;
import org.coltsfootproxy.membership.PeerAddresses;

/**
 * Settings of a store, a host that stores batch jobs in a fleet that discovers its hosts through
 * seeds.
 *
 * @param incarnation drawn when the data folder was created
 * @param voters wanted number of voters of the job log; 2t + 1 voters tolerate t simultaneous
 *     failures
 * @param regions the regions of the data centres
 * @param needsConfirmation whether nothing is sent to targets while the configuration is not
 *     confirmed as current, as evacuations of data centres need it
 */
public record StoreSettings(
        HostId self,
        DataCentre dataCentre,
        Incarnation incarnation,
        int voters,
        PeerAddresses addresses,
        TargetProtocol targets,
        JobSettings jobs,
        Regions regions,
        boolean needsConfirmation) {
    /** Validates the components. */
    public StoreSettings {
        checkNotNull(self, "host id is missing");
        checkNotNull(dataCentre, "data centre is missing");
        checkNotNull(incarnation, "incarnation is missing");
        checkArgument(voters > 0 && voters % 2 == 1, "voters %s is not odd", voters);
        checkNotNull(addresses, "addresses");
        checkNotNull(targets, "targets");
        checkNotNull(jobs, "job settings are missing");
        checkNotNull(regions, "regions");
    }
}
