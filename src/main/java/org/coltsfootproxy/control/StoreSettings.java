package org.coltsfootproxy.control;

import static com.google.common.base.Preconditions.checkArgument;
import static com.google.common.base.Preconditions.checkNotNull;

import org.coltsfootproxy.base.DataCentre;
import org.coltsfootproxy.base.HostId;
import org.coltsfootproxy.base.Incarnation;
import org.coltsfootproxy.direct.TargetProtocol;
import org.coltsfootproxy.job.JobSettings;
import org.coltsfootproxy.membership.PeerAddresses;

/**
 * Settings of a host that keeps batch jobs in a fleet whose hosts find each other by seeds.
 *
 * @param incarnation drawn when the data folder was made
 * @param voters wanted voters of the log of the jobs: with t losses at once, 2t + 1
 */
public record StoreSettings(
        HostId self,
        DataCentre dataCentre,
        Incarnation incarnation,
        int voters,
        PeerAddresses addresses,
        TargetProtocol targets,
        JobSettings jobs) {
    /** Checks the parts. */
    public StoreSettings {
        checkNotNull(self, "host id is missing");
        checkNotNull(dataCentre, "data centre is missing");
        checkNotNull(incarnation, "incarnation is missing");
        checkArgument(voters > 0 && voters % 2 == 1, "voters %s is not odd", voters);
        checkNotNull(addresses, "addresses");
        checkNotNull(targets, "targets");
        checkNotNull(jobs, "job settings are missing");
    }
}
